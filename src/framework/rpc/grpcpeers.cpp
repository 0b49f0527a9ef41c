#include "framework/rpc/grpcpeers.h"

#include "framework/rpc/internal/clientlink.h"
#include "framework/rpc/internal/peerexchange.h"
#include "framework/rpc/internal/peerresponder.h"
#include "framework/rpc/internal/serverlink.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <map>
#include <set>

namespace laburnummill::framework {

namespace {

constexpr auto s_minReconnect = Milliseconds(50);
constexpr auto s_maxReconnect = Milliseconds(500);
constexpr auto s_maxMessageBytes = 64 * 1024 * 1024;

auto makeChannel(const Endpoint& peer) -> std::shared_ptr<grpc::Channel>
{
    auto arguments = grpc::ChannelArguments();
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, static_cast<int>(s_minReconnect.count()));
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, static_cast<int>(s_minReconnect.count()));
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, static_cast<int>(s_maxReconnect.count()));
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(s_maxMessageBytes);
    return grpc::CreateCustomChannel("ipv4:" + peer.text(), grpc::InsecureChannelCredentials(), arguments);
}

/// One peer that we have talked to.
struct OutgoingPeer
{
    std::shared_ptr<grpc::Channel> channel;
    std::shared_ptr<ClientLink> link;
    std::map<std::uint64_t, std::shared_ptr<PeerExchange>> exchanges;
};

/// One peer that talks to us.
struct IncomingPeer
{
    std::shared_ptr<ServerLink> link;
    Endpoint sender;
    std::map<std::uint64_t, std::shared_ptr<PeerResponder>> responders;
};

class PeerLinkService final : public rpc::PeerLink::CallbackService
{
public:
    using Accept = std::function<std::shared_ptr<ServerLink>(const std::string& sender)>;

    explicit PeerLinkService(Accept accept)
        : m_accept(std::move(accept))
    {}

    // NOLINTNEXTLINE(readability-identifier-naming)
    auto Connect(grpc::CallbackServerContext* context) -> grpc::ServerBidiReactor<rpc::FrameBatch, rpc::FrameBatch>* override
    {
        const auto found = context->client_metadata().find("sender");
        const auto sender =
            found == context->client_metadata().end() ? std::string() : std::string(found->second.data(), found->second.size());
        return m_accept(sender).get();
    }

private:
    Accept m_accept;
};

} // namespace

struct GrpcPeers::State : public std::enable_shared_from_this<GrpcPeers::State>
{
    State(asio::any_io_executor usedExecutor, Endpoint usedSelf)
        : executor(std::move(usedExecutor))
        , self(std::move(usedSelf))
    {}

    auto accept(const std::string& sender) -> std::shared_ptr<ServerLink>;
    auto linkTo(const Endpoint& peer) -> OutgoingPeer&;
    auto outgoingFrames(const Endpoint& peer, const rpc::FrameBatch& batch) -> void;
    auto outgoingClosed(const Endpoint& peer, const ClientLink* link, bool wasOpen) -> void;
    auto incomingFrames(IncomingPeer& peer, const rpc::FrameBatch& batch) -> void;
    auto openResponder(IncomingPeer& peer, const rpc::Frame& frame) -> void;
    auto openExchange(const Endpoint& peer, std::string_view topic, std::string payload) -> std::shared_ptr<PeerExchange>;

    asio::any_io_executor executor;
    Endpoint self;
    std::map<std::string, PeerRequestHandler, std::less<>> requestHandlers;
    std::map<std::string, PeerMessageHandler, std::less<>> messageHandlers;
    std::map<Endpoint, OutgoingPeer> outgoing;
    std::set<std::shared_ptr<IncomingPeer>> incoming;
    std::set<Endpoint> blocked;
    std::unique_ptr<PeerLinkService> service;
    std::unique_ptr<grpc::Server> server;
    std::uint64_t nextExchange = 1;
    bool stopped = false;
};

//! NOTE Called on one of gRPC's threads: touches nothing of the state, only posts to the executor.
auto GrpcPeers::State::accept(const std::string& sender) -> std::shared_ptr<ServerLink>
{
    auto link = std::make_shared<ServerLink>(executor);
    auto peer = std::make_shared<IncomingPeer>();
    peer->link = link;
    peer->sender = Endpoint::parse(sender);
    const auto state = shared_from_this();
    asio::post(executor, [state, peer] { state->incoming.insert(peer); });
    auto events = LinkEvents();
    events.frames = [state, peer](const rpc::FrameBatch& batch) { state->incomingFrames(*peer, batch); };
    events.closed = [state, peer](bool) {
        const auto responders = std::move(peer->responders);
        for (const auto& [id, responder] : responders) {
            responder->takeCancel();
        }
        state->incoming.erase(peer);
    };
    link->start(std::move(events));
    return link;
}

auto GrpcPeers::State::incomingFrames(IncomingPeer& peer, const rpc::FrameBatch& batch) -> void
{
    if (blocked.contains(peer.sender)) {
        peer.link->close();
        return;
    }
    for (const auto& frame : batch.frames()) {
        if (frame.kind() == rpc::FRAME_ONE_WAY) {
            if (const auto found = messageHandlers.find(frame.topic()); found != messageHandlers.end()) {
                found->second(frame.payload());
            }
            continue;
        }
        if (frame.kind() == rpc::FRAME_OPEN) {
            openResponder(peer, frame);
            continue;
        }
        const auto found = peer.responders.find(frame.exchange());
        if (found == peer.responders.end()) {
            continue;
        }
        const auto responder = found->second;
        if (frame.kind() == rpc::FRAME_CANCEL) {
            peer.responders.erase(found);
            responder->takeCancel();
        } else {
            responder->takeMessage(frame.payload());
        }
    }
}

auto GrpcPeers::State::openResponder(IncomingPeer& peer, const rpc::Frame& frame) -> void
{
    std::erase_if(peer.responders, [](const auto& entry) { return entry.second->finished(); });
    const auto link = peer.link;
    auto responder = std::make_shared<PeerResponder>(frame.exchange(), [link](rpc::Frame answer) { return link->push(std::move(answer)); });
    const auto handler = requestHandlers.find(frame.topic());
    if (handler == requestHandlers.end()) {
        responder->fail(RpcError::UnknownTopic);
        return;
    }
    peer.responders[frame.exchange()] = responder;
    asio::co_spawn(executor, handler->second(frame.payload(), responder), asio::detached);
}

auto GrpcPeers::State::linkTo(const Endpoint& peer) -> OutgoingPeer&
{
    auto& entry = outgoing[peer];
    if (entry.link || stopped) {
        return entry;
    }
    if (!entry.channel) {
        entry.channel = makeChannel(peer);
    }
    const auto state = shared_from_this();
    auto events = LinkEvents();
    events.frames = [state, peer](const rpc::FrameBatch& batch) { state->outgoingFrames(peer, batch); };
    auto known = std::make_shared<const ClientLink*>(nullptr);
    events.closed = [state, peer, known](bool wasOpen) { state->outgoingClosed(peer, *known, wasOpen); };
    entry.link = std::make_shared<ClientLink>(executor, std::move(events));
    *known = entry.link.get();
    entry.link->connect(entry.channel, self.text());
    return entry;
}

auto GrpcPeers::State::outgoingFrames(const Endpoint& peer, const rpc::FrameBatch& batch) -> void
{
    if (blocked.contains(peer)) {
        return;
    }
    auto& entry = outgoing[peer];
    for (const auto& frame : batch.frames()) {
        const auto found = entry.exchanges.find(frame.exchange());
        if (found == entry.exchanges.end()) {
            continue;
        }
        const auto exchange = found->second;
        exchange->take(frame);
        if (exchange->finished()) {
            entry.exchanges.erase(frame.exchange());
        }
    }
}

auto GrpcPeers::State::outgoingClosed(const Endpoint& peer, const ClientLink* link, bool wasOpen) -> void
{
    auto& entry = outgoing[peer];
    if (entry.link.get() != link) {
        return;
    }
    entry.link.reset();
    const auto exchanges = std::move(entry.exchanges);
    entry.exchanges.clear();
    for (const auto& [id, exchange] : exchanges) {
        exchange->fail(wasOpen ? RpcError::LinkLost : RpcError::PeerUnreachable);
    }
}

auto GrpcPeers::State::openExchange(const Endpoint& peer, std::string_view topic, std::string payload) -> std::shared_ptr<PeerExchange>
{
    const auto id = nextExchange++;
    if (stopped || blocked.contains(peer)) {
        auto refused = std::make_shared<PeerExchange>(executor, id, [](rpc::Frame) { return false; });
        refused->fail(RpcError::PeerUnreachable);
        return refused;
    }
    auto& entry = linkTo(peer);
    const auto link = entry.link;
    auto exchange = std::make_shared<PeerExchange>(executor, id, [link](rpc::Frame frame) { return link->push(std::move(frame)); });
    auto frame = rpc::Frame();
    frame.set_exchange(id);
    frame.set_kind(rpc::FRAME_OPEN);
    frame.set_topic(std::string(topic));
    frame.set_payload(std::move(payload));
    if (!link->push(std::move(frame))) {
        exchange->fail(RpcError::Overloaded);
        return exchange;
    }
    entry.exchanges[id] = exchange;
    return exchange;
}

GrpcPeers::GrpcPeers(asio::any_io_executor executor, Endpoint self)
    : m_state(std::make_shared<State>(std::move(executor), std::move(self)))
{}

GrpcPeers::~GrpcPeers()
{
    stop();
}

auto GrpcPeers::listen(const Endpoint& endpoint) -> Result<void>
{
    //! NOTE A raw pointer: the service lives in the state, which stop() empties of the server first.
    m_state->service =
        std::make_unique<PeerLinkService>([state = m_state.get()](const std::string& sender) { return state->accept(sender); });
    auto builder = grpc::ServerBuilder();
    auto port = 0;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(s_maxMessageBytes);
    builder.AddListeningPort(endpoint.text(), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(m_state->service.get());
    m_state->server = builder.BuildAndStart();
    if (!m_state->server || port == 0) {
        return RpcError::BindFailed;
    }
    return success();
}

auto GrpcPeers::stop() -> void
{
    if (m_state->stopped) {
        return;
    }
    m_state->stopped = true;
    for (auto& [peer, entry] : m_state->outgoing) {
        if (entry.link) {
            entry.link->close();
        }
    }
    for (const auto& peer : m_state->incoming) {
        peer->link->close();
    }
    if (m_state->server) {
        m_state->server->Shutdown(std::chrono::system_clock::now() + Milliseconds(100));
        m_state->server.reset();
    }
}

auto GrpcPeers::serve(std::string topic, PeerRequestHandler handler) -> void
{
    m_state->requestHandlers[std::move(topic)] = std::move(handler);
}

auto GrpcPeers::listenFor(std::string topic, PeerMessageHandler handler) -> void
{
    m_state->messageHandlers[std::move(topic)] = std::move(handler);
}

auto GrpcPeers::send(const Endpoint& peer, std::string_view topic, std::string payload) -> void
{
    if (m_state->stopped || m_state->blocked.contains(peer)) {
        return;
    }
    auto frame = rpc::Frame();
    frame.set_kind(rpc::FRAME_ONE_WAY);
    frame.set_topic(std::string(topic));
    frame.set_payload(std::move(payload));
    m_state->linkTo(peer).link->push(std::move(frame));
}

auto GrpcPeers::open(const Endpoint& peer, std::string_view topic, std::string payload) -> std::shared_ptr<IPeerExchange>
{
    return m_state->openExchange(peer, topic, std::move(payload));
}

auto GrpcPeers::request(const Endpoint& peer, std::string_view topic, std::string payload, Milliseconds timeout) -> AsyncResult<std::string>
{
    const auto exchange = m_state->openExchange(peer, topic, std::move(payload));
    auto deadline = asio::steady_timer(m_state->executor, timeout);
    deadline.async_wait([exchange](const boost::system::error_code& error) {
        if (!error) {
            exchange->abandon(RpcError::TimedOut);
        }
    });
    BOOST_OUTCOME_CO_TRY(auto answer, co_await exchange->read());
    if (!answer) {
        co_return RpcError::Malformed;
    }
    exchange->cancel();
    co_return std::move(*answer);
}

auto GrpcPeers::executor() const -> asio::any_io_executor
{
    return m_state->executor;
}

auto GrpcPeers::block(const Endpoint& peer, bool blocked) -> void
{
    if (!blocked) {
        m_state->blocked.erase(peer);
        return;
    }
    m_state->blocked.insert(peer);
    if (const auto found = m_state->outgoing.find(peer); found != m_state->outgoing.end() && found->second.link) {
        found->second.link->close();
    }
}

} // namespace laburnummill::framework
