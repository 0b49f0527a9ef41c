#pragma once

#include "framework/global/async.h"
#include "framework/global/iclock.h"
#include "programs/turnrecords.pb.h"
#include "store/istore.h"

#include <optional>
#include <string>
#include <vector>

namespace laburnummill::programs {

/// This host as the register of hosts names it.
struct HostIdentity
{
    std::string host;
    std::string address; ///< IP:PORT for calls of other hosts
    std::uint64_t incarnation = 0;
    std::string dataCentre;
};

/// Record of a host's new incarnation. `former`: the record that the register has of the host; null if there is none. Without word of its
/// departure, the former incarnation may have lost turns, and the record says so for `turnRetention`.
auto recordOfStart(const HostIdentity& identity, const records::HostRecord* former, std::uint64_t wallMilliseconds,
                   framework::Milliseconds turnRetention) -> records::HostRecord;

/// The register of hosts in the store: one row for each host with its latest incarnation, from its start on, and whether that has ended
/// with everything stored. It tells which hosts may hold, or have lost, turns that the store does not have.
class HostRegister
{
public:
    HostRegister(store::IStore& store, const framework::IClock& clock, HostIdentity identity);

    /// Records this incarnation, unless that has been done. Returns whether the register has it.
    auto enter(framework::Milliseconds turnRetention) -> framework::Async<bool>;

    /// Records that this incarnation ends with everything stored; called when it holds nothing and accepts nothing more.
    /// Returns false if the store did not accept it.
    auto leave() -> framework::Async<bool>;

    /// All records; an error if the store does not answer or one of them cannot be read.
    auto read() -> framework::AsyncResult<std::vector<records::HostRecord>>;

    /// Whether the register has this incarnation.
    auto hasEntered() const -> bool { return m_hasEntered; }

private:
    auto address() const -> store::RowAddress;
    auto write(const records::HostRecord& record) -> framework::AsyncResult<bool>;

    store::IStore& m_store;
    const framework::IClock& m_clock;
    HostIdentity m_identity;
    records::HostRecord m_record;
    std::uint64_t m_version = store::s_absentRow;
    bool m_hasEntered = false;
};

} // namespace laburnummill::programs
