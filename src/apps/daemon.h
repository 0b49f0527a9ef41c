#pragma once

#include "framework/kernel/kernel.h"
#include "framework/rpc/grpcpeers.h"
#include "framework/settings/daemonsettings.h"

#include <memory>

namespace laburnummill::apps {

/// A whole daemon: the framework's services and all modules on one executor.
class Daemon
{
public:
    Daemon(framework::DaemonSettings settings, bool embedded);

    /// Runs until a termination signal arrived and everything has stopped. Yields the exit code.
    auto run() -> int;

private:
    auto assemble() -> framework::Result<void>;
    auto registerFramework() -> framework::Result<void>;
    auto main() -> framework::Async<void>;

    framework::DaemonSettings m_settings;
    bool m_embedded;
    framework::asio::io_context m_context;
    std::shared_ptr<framework::GrpcPeers> m_peers;
    framework::Kernel m_kernel;
    int m_exitCode = 0;
};

} // namespace laburnummill::apps
