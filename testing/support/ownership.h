#pragma once

#include "testing/support/localfleet.h"

namespace laburnummill::testing {

/// A host's part of the state dump about views and leases.
auto coordinationDump(const LocalFleet& fleet, const std::string& host) -> framework::Json;

/// True where each of `hosts` has a lease under a view of `dataCentre` with so many members, all earlier views settled.
auto haveView(const LocalFleet& fleet, const std::vector<std::string>& hosts, const std::string& dataCentre, std::size_t members) -> bool;

/// The first of `hosts` in the rank of the program's shard.
auto firstInRank(const std::vector<std::string>& hosts, const std::string& program) -> std::string;

/// The first of `hosts` in the rank of the shard that holds the test account's rate limit.
auto limitsOwner(const std::vector<std::string>& hosts) -> std::string;

/// Starts a program through `host`; its id.
auto startProgram(const LocalFleet& fleet, const std::string& host) -> std::string;

/// Calls the model in the program's `turn` with a message that holds `text`; the status of the answer.
auto callModel(const LocalFleet& fleet, const std::string& host, const std::string& program, int turn, const std::string& text) -> unsigned;

auto without(std::vector<std::string> hosts, const std::string& host) -> std::vector<std::string>;

} // namespace laburnummill::testing
