#include "peers/peersockets.h"

#include <charconv>

namespace laburnummill::peers {

namespace {

namespace asio = boost::asio;

auto bindBoth(PeerSockets& sockets, const asio::ip::tcp::endpoint& endpoint) -> boost::system::error_code
{
    auto error = boost::system::error_code();
    const auto datagramEndpoint = asio::ip::udp::endpoint(endpoint.address(), endpoint.port());
    sockets.datagrams.open(datagramEndpoint.protocol(), error);
    if (!error) {
        sockets.datagrams.bind(datagramEndpoint, error);
    }
    if (!error) {
        sockets.acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        sockets.acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        sockets.acceptor.bind(endpoint, error);
    }
    if (!error) {
        sockets.acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    return error;
}

} // namespace

auto parseEndpoint(std::string_view address) -> std::optional<asio::ip::tcp::endpoint>
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto error = boost::system::error_code();
    const auto ip = asio::ip::make_address(std::string(address.substr(0, colon)), error);
    auto port = std::uint16_t{0};
    const auto digits = address.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error || parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(ip, port);
}

auto bindPeerSockets(const asio::any_io_executor& executor, const std::vector<std::string>& addresses, boost::system::error_code& error)
    -> std::optional<PeerSockets>
{
    error = asio::error::invalid_argument;
    for (const auto& address : addresses) {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint) {
            continue;
        }
        auto sockets =
            PeerSockets{.datagrams = asio::ip::udp::socket(executor), .acceptor = asio::ip::tcp::acceptor(executor), .address = address};
        error = bindBoth(sockets, *endpoint);
        if (!error) {
            return sockets;
        }
    }
    return std::nullopt;
}

auto bindPeerSockets(const asio::any_io_executor& executor, const std::vector<std::string>& addresses) -> PeerSockets
{
    auto error = boost::system::error_code();
    auto sockets = bindPeerSockets(executor, addresses, error);
    if (!sockets) {
        throw boost::system::system_error(error, addresses.empty() ? std::string() : addresses.front());
    }
    return std::move(*sockets);
}

} // namespace laburnummill::peers
