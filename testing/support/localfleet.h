#pragma once

#include "framework/global/json.h"
#include "testing/support/childprocess.h"
#include "testing/support/testcaller.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnummill::testing {

inline constexpr auto s_callerKey = "test-caller-key";
inline constexpr auto s_operatorKey = "test-operator-key";

/// Real daemons in several data centres with fakes of platform, engines and services, all on loopback.
class LocalFleet
{
public:
    struct Shape
    {
        std::vector<std::string> dataCentres{"dc-1", "dc-2"};
        std::size_t daemonsEach = 1;
        std::size_t enginesEach = 1;
        std::size_t servicesEach = 1;
        int engineTokenIntervalMs = 2;
    };

    /// Starts the fakes; daemons start with startAll() or start().
    explicit LocalFleet(Shape shape);
    ~LocalFleet();

    LocalFleet(const LocalFleet&) = delete;
    auto operator=(const LocalFleet&) -> LocalFleet& = delete;

    /// Writes the first configuration and keys to the platform, starts all daemons and waits until each is ready.
    auto startAll() -> bool;

    auto hosts() const -> std::vector<std::string>;
    auto start(const std::string& host) -> void;
    auto isReady(const std::string& host) const -> bool;
    auto daemon(const std::string& host) -> ChildProcess&;

    /// A caller that talks to the daemon on `host`.
    auto caller(const std::string& host, const std::string& key = s_callerKey) const -> TestCaller;
    auto operatorOf(const std::string& host) const -> TestCaller;

    /// Fakes by name: "platform", "engine-DC-N", "service-DC-N", e.g. "engine-dc-1-1".
    auto fake(const std::string& name) const -> TestCaller;
    auto fakeProcess(const std::string& name) -> ChildProcess&;
    auto setFaults(const std::string& fake, const framework::Json& faults) const -> void;

    /// The configuration that startAll() writes; may be changed before.
    auto configuration() -> framework::Json& { return m_configuration; }

    /// A daemon's settings; may be changed before it starts.
    auto settings(const std::string& host) -> framework::Json& { return m_daemons.at(host).settings; }

private:
    struct Daemon
    {
        framework::Json settings;
        std::unique_ptr<ChildProcess> process;
    };
    struct Fake
    {
        framework::Endpoint endpoint;
        std::unique_ptr<ChildProcess> process;
    };

    auto startFake(const std::string& name, const std::string& program, std::vector<std::string> arguments = {}) -> void;
    auto addDaemons() -> void;
    auto writePlatform() const -> bool;

    Shape m_shape;
    std::string m_folder;
    std::map<std::string, Fake> m_fakes;
    std::map<std::string, Daemon> m_daemons;
    framework::Json m_configuration;
};

/// A loopback port that was free a moment ago.
auto freePort() -> std::uint16_t;

} // namespace laburnummill::testing
