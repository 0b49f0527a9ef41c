#include "programs/hostregister.h"

#include "framework/logging/log.h"

#include <algorithm>

namespace laburnummill::programs {

namespace {

using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;

constexpr auto s_table = "incarnations";
constexpr auto s_format = std::uint32_t{1};
constexpr auto s_rowsPerPage = 500;

} // namespace

auto recordOfStart(const HostIdentity& identity, const records::HostRecord* former, std::uint64_t wallMilliseconds,
                   Milliseconds turnRetention) -> records::HostRecord
{
    auto record = records::HostRecord();
    record.set_format(s_format);
    record.set_host(identity.host);
    record.set_address(identity.address);
    record.set_incarnation(identity.incarnation);
    record.set_data_centre(identity.dataCentre);
    record.set_registered_at(wallMilliseconds);
    if (former != nullptr) {
        const auto lost = former->has_departed() ? 0 : wallMilliseconds + static_cast<std::uint64_t>(turnRetention.count());
        record.set_unaccounted_until(std::max<std::uint64_t>(former->unaccounted_until(), lost));
    }
    return record;
}

HostRegister::HostRegister(store::IStore& store, const framework::IClock& clock, HostIdentity identity)
    : m_store(store)
    , m_clock(clock)
    , m_identity(std::move(identity))
{}

auto HostRegister::enter(Milliseconds turnRetention) -> Async<bool>
{
    if (m_hasEntered) {
        co_return true;
    }
    const auto row = address();
    const auto page = co_await m_store.list({.table = row.table, .partition = {}, .from = row.key, .to = row.key + '!', .limit = 1});
    if (!page) {
        co_return false;
    }
    auto former = records::HostRecord();
    const auto isThere = !page.value().rows.empty();
    if (isThere && !former.ParseFromString(page.value().rows.front().value)) {
        framework::logEvent(framework::LogLevel::Error, "programs", "host_record_unreadable", {{"host", m_identity.host}});
    }
    m_version = isThere ? page.value().rows.front().version : store::s_absentRow;
    if (former.incarnation() == m_identity.incarnation && isThere) {
        m_record = std::move(former); // An earlier write took effect although its answer was lost.
        m_hasEntered = true;
        co_return true;
    }
    const auto wallMilliseconds = static_cast<std::uint64_t>(framework::unixMilliseconds(m_clock.wallTime()));
    m_record = recordOfStart(m_identity, isThere ? &former : nullptr, wallMilliseconds, turnRetention);
    const auto isWritten = co_await write(m_record);
    m_hasEntered = isWritten && isWritten.value();
    if (m_hasEntered) {
        framework::logEvent(framework::LogLevel::Info, "programs", "host_registered",
                            {{"host", m_identity.host},
                             {"formerIncarnation", former.incarnation()},
                             {"hadFormerDeparted", !isThere || former.has_departed()},
                             {"unaccountedUntil", m_record.unaccounted_until()}});
    }
    co_return m_hasEntered;
}

auto HostRegister::leave() -> Async<bool>
{
    if (!m_hasEntered) {
        co_return false;
    }
    auto record = m_record;
    record.set_has_departed(true);
    const auto isWritten = co_await write(record);
    co_return isWritten&& isWritten.value();
}

auto HostRegister::read() -> AsyncResult<std::vector<records::HostRecord>>
{
    auto records = std::vector<records::HostRecord>();
    auto request = store::ListRequest{.table = s_table, .partition = {}, .from = {}, .to = {}, .limit = s_rowsPerPage};
    for (auto hasMore = true; hasMore;) {
        BOOST_OUTCOME_CO_TRY(const auto page, co_await m_store.list(request));
        for (const auto& row : page.rows) {
            if (!records.emplace_back().ParseFromString(row.value)) {
                co_return store::StoreError::Malformed;
            }
        }
        hasMore = page.hasMore && !page.rows.empty();
        request.from = hasMore ? page.rows.back().address.key + '!' : std::string();
    }
    co_return records;
}

auto HostRegister::address() const -> store::RowAddress
{
    return {.table = s_table, .partition = {}, .key = m_identity.host};
}

auto HostRegister::write(const records::HostRecord& record) -> AsyncResult<bool>
{
    auto transaction = store::Transaction();
    transaction.conditions.push_back({.address = address(), .version = m_version});
    transaction.puts.push_back({.address = address(), .value = record.SerializeAsString()});
    BOOST_OUTCOME_CO_TRY(const auto reply, co_await m_store.transact(std::move(transaction)));
    m_version = reply.isApplied ? reply.version : m_version;
    co_return reply.isApplied;
}

} // namespace laburnummill::programs
