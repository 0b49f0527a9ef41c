#include "testing/fakes/fakemain.h"

#include "framework/http/httpserver.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <iostream>

namespace laburnummill::testing {

namespace {

constexpr auto s_exitUsage = 2;

} // namespace

auto runFake(int argc, char** argv, framework::IHttpHandler& handler) -> int
{
    if (argc < 2) {
        std::cerr << "usage: " << argv[0] << " HOST:PORT\n";
        return s_exitUsage;
    }
    auto context = framework::asio::io_context();
    auto server = framework::HttpServer(context.get_executor(), handler, framework::HttpServerLimits());
    if (const auto listening = server.listen(framework::Endpoint::parse(argv[1])); !listening) {
        std::cerr << listening.error().message() << '\n';
        return 1;
    }
    auto signals = framework::asio::signal_set(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    std::cout << "listening on port " << server.port() << std::endl;
    context.run();
    return 0;
}

} // namespace laburnummill::testing
