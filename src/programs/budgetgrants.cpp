#include "programs/budgetledger.h"

#include "framework/global/tasks.h"
#include "framework/logging/log.h"
#include "peers/callall.h"

#include <algorithm>
#include <ranges>

// What the other hosts have of a program's budget, and grants without the store.

namespace laburnummill::programs {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::Milliseconds;

constexpr auto s_queryTimeout = Milliseconds(200);
constexpr auto s_maxRecordAttempts = 8;
constexpr auto s_recordWait = Milliseconds(5'000);

/// Writes of grants that have not ended.
struct OpenRecords
{
    OpenRecords(framework::asio::any_io_executor executor, std::size_t count)
        : ended(std::move(executor))
        , count(count)
    {}

    framework::Signal ended;
    std::size_t count;
};

/// During an outage a turn may run with this share of its maximum: a typical turn generates no more.
constexpr auto s_minOutageGrantShare = 0.25;

auto grantsOf(const Program& program, std::uint64_t maxTokens) -> OutageGrants
{
    return OutageGrants(program.budget, maxTokens, program.history);
}

} // namespace

auto BudgetLedger::answer(peers::messages::GrantQuery query, std::uint64_t replicatedTokens) -> Async<peers::messages::Response>
{
    auto response = peers::messages::Response();
    const auto key = ProgramKey{.account = query.account(), .program = query.program()};
    response.set_knows_program(hasProgram(key));
    response.set_address(m_peers.ownAddress());
    response.set_has_lent(unrecordedTokens(key) > 0);
    response.set_left(unclaimedTokens(key));
    response.set_lent(std::max(unrecordedTokens(key), replicatedTokens));
    if (!query.grantor().empty()) {
        response.set_is_supported(support(*m_table.program(key), query.grantor(), query.grantor_incarnation()));
    } else if (!query.holder().empty() && !query.may_take_more()) {
        response.set_granted(m_transfers.mayBegin(query.transfer()) ? transferInAdvance(key, query.holder(), query.tokens()) : 0);
        m_transfers.record(query.transfer(), response.granted(), m_clock.now());
    } else if (query.may_take_more()) {
        const auto history = query.is_history_sent_by_caller() ? TurnHistory::SentByCaller : TurnHistory::KeptByHosts;
        const auto reservation = co_await reserveForPeer(key,
                                                         {.budget = query.budget(),
                                                          .maxTokens = query.tokens(),
                                                          .isFirstTurn = query.is_first_turn(),
                                                          .continuesProgram = query.continues_program(),
                                                          .history = history},
                                                         query.transfer());
        response.set_granted(reservation.tokens);
        if (reservation.tokens > 0 && !query.holder().empty()) {
            m_table.program(key)->advanceHolders.insert(query.holder());
        }
        response.set_is_grant_unrecorded(!reservation.isRecorded);
        response.set_budget_outcome(static_cast<std::uint32_t>(reservation.outcome));
    } else {
        response.set_granted(transferTokens(key, query.tokens()));
    }
    response.set_reserved(reserved(key));
    if (const auto program = m_table.find(key)) {
        response.set_supported_grantor(program->supportedGrantor);
        response.set_supported_incarnation(program->supportedIncarnation);
    }
    co_return response;
}

auto BudgetLedger::possiblyUnrecorded(ProgramKey key, ProgramPtr program, std::uint64_t maxTokens) -> Async<std::uint64_t>
{
    if (!m_grantSearch.isNeeded(key, *program)) {
        co_return 0;
    }
    const auto others = co_await queryPeers(key, program, maxTokens);
    const auto grants = grantsOf(*program, maxTokens);
    auto tokens = grants.possiblyGranted(others.fleet);
    for (const auto& [grantor, supporters] : others.silentGrantors) {
        const auto granted = grants.possiblyGrantedBy(supporters, others.fleet);
        tokens = std::max(tokens, granted); // Only one host can have granted more than a turn's tokens.
        if (granted > 0 && m_grantSearch.hasLostState(grantor)) {
            program->lostGrants[grantor.second] = granted;
        }
    }
    co_return others.unrecordedTokens + tokens;
}

auto BudgetLedger::recordUnrecordedGrants() -> Async<void>
{
    if (!m_alternateGrants.areAllKnown()) {
        co_await m_alternateGrants.read();
    }
    co_await m_alternateGrants.removeDispensable();
    auto programs = m_table.withUnrecordedTokens();
    std::erase_if(programs, [this](const auto& entry) {
        const auto& [key, program] = entry;
        return program->unrecordedTokens > 0 ? isStoreAway(key) && !isAwayAlone(key) : !isToMoveEntries(key, *program);
    });
    if (programs.empty() || !co_await recordGrants(programs.front().first, programs.front().second)) {
        co_return; // Retried at the next call.
    }
    // The writes go on at the same time, because a slow store takes several of them together.
    const auto open = std::make_shared<OpenRecords>(m_executor, programs.size() - 1);
    for (const auto& [key, program] : programs | std::views::drop(1)) {
        framework::spawnTask(m_executor, "record_unrecorded_grants", [this, open, key = key, program = program]() -> Async<void> {
            (void)co_await recordGrants(key, program);
            if (--open->count == 0) {
                open->ended.notify();
            }
        });
    }
    while (open->count > 0) {
        co_await open->ended.wait(s_recordWait);
    }
}

auto BudgetLedger::isToMoveEntries(const ProgramKey& key, const Program& program) const -> bool
{
    return !program.entriesElsewhere.empty() && storeState(key) == store::StoreState::Prompt &&
           m_peers.committer(partitionName(partitionOf(key))) == m_peers.ownAddress();
}

auto BudgetLedger::recordGrants(ProgramKey key, ProgramPtr program) -> Async<bool>
{
    if (isAwayAlone(key)) {
        co_return co_await m_alternateGrants.record(key, program);
    }
    const auto isToRecord = [&program] { return program->unrecordedTokens > 0 || !program->entriesElsewhere.empty(); };
    for (auto attempt = 0; attempt < s_maxRecordAttempts && isToRecord() && !program->isRowBeingWritten; ++attempt) {
        const auto isWritten = co_await writeRow(key, program, 0);
        if (!isWritten && isWritten.error() == store::StoreError::Rejected) {
            framework::logEvent(framework::LogLevel::Error, "programs", "program_row_rejected", {{"program", key.program}});
            co_return true; // The rows of the other programs may be accepted.
        }
        if (!isWritten) {
            co_return false;
        }
        if (isWritten.value()) {
            framework::logEvent(framework::LogLevel::Info, "programs", "lent_tokens_recorded", {{"program", key.program}});
            co_return true;
        }
    }
    co_return true;
}

auto BudgetLedger::possibleHolders(const ProgramKey& key, const Program& program) const -> std::vector<std::string>
{
    auto addresses = m_grantSearch.hosts(key, program);
    const auto add = [&addresses](const std::string& address) {
        if (!address.empty() && std::ranges::find(addresses, address) == addresses.end()) {
            addresses.push_back(address);
        }
    };
    if (!program.isRowKnown) {
        std::ranges::for_each(m_peers.replicaHosts(key.program), add);
    }
    std::ranges::for_each(program.advanceHolders, add);
    for (const auto& holding : program.row.holdings()) {
        add(m_peers.addressOf(holding.host(), holding.incarnation()));
    }
    return addresses;
}

auto BudgetLedger::queryPeers(ProgramKey key, ProgramPtr program, std::uint64_t need) -> Async<PeerHoldings>
{
    // Only a host that is about to grant tokens without the row has to know of all earlier grants.
    const auto isAway = isStoreAway(key) && mayGrantUnrecorded(key, program->history);
    auto asked = isAway ? m_peers.reachableHosts() : possibleHolders(key, *program);
    program->advanceHolders.clear(); // They return what they have.
    auto answers = co_await queryHosts(key, program, asked, need);
    auto others = holdingsFrom(key, *program, answers);
    auto silent = asked;
    std::erase_if(silent, [&answers](const std::string& address) {
        return std::ranges::any_of(answers.responses, [&address](const auto& response) { return response.address() == address; });
    });
    const auto mayBeLarge = program->history == TurnHistory::KeptByHosts;
    if (isAway || !mayBeLarge || (others.silentGrantors.empty() && !m_grantSearch.areAllNeeded(key, silent))) {
        co_return others;
    }
    // Whether a grantor may have granted more than one turn's tokens depends on how many hosts support it.
    auto remaining = m_peers.reachableHosts();
    std::erase_if(remaining, [&asked](const std::string& address) { return std::ranges::find(asked, address) != asked.end(); });
    const auto further = co_await queryHosts(key, program, std::move(remaining), need);
    answers.failed += further.failed;
    answers.responses.insert(answers.responses.end(), further.responses.begin(), further.responses.end());
    co_return holdingsFrom(key, *program, answers);
}

auto BudgetLedger::queryHosts(const ProgramKey& key, ProgramPtr program, std::vector<std::string> addresses, std::uint64_t need)
    -> Async<peers::CallResults>
{
    auto request = peers::messages::Request();
    auto& query = *request.mutable_grant_query();
    query.set_account(key.account);
    query.set_program(key.program);
    query.set_tokens(need);
    auto answers =
        co_await peers::callAll(m_peers, std::move(addresses), std::move(request), s_queryTimeout, [](const auto&) { return false; });
    for (const auto& response : answers.responses) {
        program->holding.transferIn(response.granted());
        if (m_requests == TokenRequests::InAdvance && response.reserved() > 0) {
            program->advanceHolders.insert(response.address()); // It may hold what its turns leave.
        }
    }
    co_return answers;
}

auto BudgetLedger::holdingsFrom(const ProgramKey& key, Program& program, const peers::CallResults& answers) const -> PeerHoldings
{
    auto others = PeerHoldings();
    auto unrecordedTokens = std::uint64_t{0};
    auto held = std::uint64_t{0};
    auto supporters = std::map<HostIncarnation, std::uint64_t>();
    if (!program.supportedGrantor.empty()) {
        ++supporters[{program.supportedGrantor, program.supportedIncarnation}];
    }
    auto answered = std::set<HostIncarnation>{{m_peers.ownAddress(), m_peers.ownIncarnation()}};
    others.fleet = {.hosts = static_cast<std::uint64_t>(m_peers.membershipSize()),
                    .unreachable = static_cast<std::uint64_t>(m_peers.unreachableHosts() + answers.failed)};
    for (const auto& response : answers.responses) {
        answered.emplace(response.address(), response.incarnation());
        others.fleet.hosts = std::max<std::uint64_t>(others.fleet.hosts, response.membership());
        if (!response.supported_grantor().empty()) {
            ++supporters[{response.supported_grantor(), response.supported_incarnation()}];
        }
        others.hasRunningTurns = others.hasRunningTurns || response.reserved() > 0;
        // A host that has already granted tokens remains the grantor; otherwise the grantor is the host with the lowest address
        // among those that have the program.
        const auto isBefore = response.has_lent() != (program.unrecordedTokens > 0)
                                  ? response.has_lent()
                                  : !hasProgram(key) || response.address() < m_peers.ownAddress();
        const auto isBest = others.grantor.empty() || response.has_lent() || response.address() < others.grantor;
        if (response.knows_program() && isBefore && isBest) {
            others.grantor = response.address();
        }
        others.isProgramKnown = others.isProgramKnown || response.knows_program() || response.lent() > 0;
        if (response.knows_program()) {
            others.unclaimedTokens = std::min<std::uint64_t>(others.unclaimedTokens, response.left());
        }
        unrecordedTokens += response.lent();
        held = std::max<std::uint64_t>(held, response.lent());
    }
    others.unrecordedTokens = std::max(unrecordedTokens, held);
    for (const auto& [grantor, count] : supporters) {
        // The row contains what its grantor has granted, as the grants of a program that is in the row are within one turn's tokens.
        if (!ProgramTable::hasEntry(program, grantor.second) && !answered.contains(grantor)) {
            others.silentGrantors[grantor] = count;
        }
    }
    return others;
}

auto BudgetLedger::unrecordedGrantLimit(const ProgramKey& key, const Program& program, const TokenDemand& demand) const -> std::uint64_t
{
    const auto hosts = std::max(program.fleetSize, static_cast<std::uint64_t>(m_peers.membershipSize()));
    // A slow store keeps the turns of the program, which may therefore go on after the loss of all hosts and of their grants.
    const auto isWithinOneTurn = program.isRowKnown || !isStoreAway(key);
    return grantsOf(program, demand.maxTokens).limit(program.supporters, hosts, isWithinOneTurn);
}

auto BudgetLedger::isStoreAway(const ProgramKey& key) const -> bool
{
    return storeState(key) == store::StoreState::Away;
}

auto BudgetLedger::mayGrantUnrecorded(const ProgramKey& key, TurnHistory history) const -> bool
{
    return history == TurnHistory::SentByCaller || isAwayAlone(key);
}

auto BudgetLedger::isAwayAlone(const ProgramKey& key) const -> bool
{
    return m_storeStatus.isAwayAlone(partitionName(partitionOf(key)));
}

auto BudgetLedger::mayHaveStartedNow(const Program& program, const TokenDemand& demand, const PeerHoldings& others) const -> bool
{
    if (demand.history == TurnHistory::KeptByHosts) {
        return demand.isFirstTurn;
    }
    // Hosts that ran earlier turns know the program, unless they have lost their memory since. Its row then contains what they
    // used, and one turn's tokens may be granted without it, but only once: hosts that remember an earlier grant support no other
    // grantor, and hosts that may have forgotten one support none.
    return !program.isRowKnown && !others.isProgramKnown;
}

auto BudgetLedger::mayGrantWithoutStore(const ProgramKey& key, const Program& program, const TokenDemand& demand,
                                        const PeerHoldings& others) const -> bool
{
    if (m_spent.contains(key, m_clock.now())) {
        return false; // It is not one that starts now, even if its turn names no previous one.
    }
    // An earlier incarnation may have granted as much already.
    const auto isKnown = (program.isRowKnown && m_alternateGrants.areKnownFor(partitionOf(key))) || program.unrecordedTokens > 0;
    return (isKnown || mayHaveStartedNow(program, demand, others)) && others.grantor.empty();
}

auto BudgetLedger::support(Program& program, std::string_view grantor, std::uint64_t incarnation) -> bool
{
    if (program.supportedGrantor.empty() && !m_peers.mayHaveForgottenSupport()) {
        program.supportedGrantor = grantor;
        program.supportedIncarnation = incarnation;
        program.supportedAt = m_clock.now();
    }
    return program.supportedGrantor == grantor && program.supportedIncarnation == incarnation;
}

auto BudgetLedger::collectSupport(ProgramKey key, ProgramPtr program) -> Async<std::string>
{
    const auto supportsItself = support(*program, m_peers.ownAddress(), m_peers.ownIncarnation());
    if (!supportsItself && !program->supportedGrantor.empty()) {
        co_return program->supportedGrantor;
    }
    const auto addresses = m_peers.reachableHosts();
    if (program->supporters > addresses.size()) {
        co_return std::string();
    }
    auto request = peers::messages::Request();
    auto& query = *request.mutable_grant_query();
    query.set_account(key.account);
    query.set_program(key.program);
    query.set_grantor(m_peers.ownAddress());
    query.set_grantor_incarnation(m_peers.ownIncarnation());
    const auto answers = co_await peers::callAll(m_peers, addresses, std::move(request), s_queryTimeout, [](const auto&) { return false; });
    const auto others = std::ranges::count_if(answers.responses, [](const auto& response) { return response.is_supported(); });
    program->supporters = std::max(program->supporters, static_cast<std::uint64_t>(others) + (supportsItself ? 1 : 0));
    for (const auto& response : answers.responses) {
        program->fleetSize = std::max<std::uint64_t>(program->fleetSize, response.membership());
    }
    co_return std::string();
}

auto BudgetLedger::reserveWithoutStore(const ProgramKey& key, ProgramPtr program, const TokenDemand& demand, const PeerHoldings& others,
                                       bool isGrantor) -> Async<Reservation>
{
    if (!mayGrantUnrecorded(key, demand.history)) {
        co_return Reservation();
    }
    auto grantor = others.grantor;
    if ((grantor.empty() || isGrantor) && mayGrantWithoutStore(key, *program, demand, others)) {
        grantor = co_await collectSupport(key, program);
    }
    if (grantor.empty() || isGrantor) {
        auto reservation = grantWithoutStore(key, *program, demand, others);
        if (reservation.outcome == BudgetOutcome::Reserved && isAwayAlone(key)) {
            // The program's turns outlive the loss of all hosts there, and can be continued.
            reservation.isRecorded = co_await m_alternateGrants.record(key, program);
            if (!reservation.isRecorded) {
                program->holding.settle(reservation.tokens, 0);
                co_return Reservation();
            }
        }
        co_return reservation;
    }
    // One host grants tokens for all hosts that reach it.
    const auto fromGrantor = co_await reserveAt(key, grantor, demand);
    co_return fromGrantor.value_or(Reservation());
}

auto BudgetLedger::grantWithoutStore(const ProgramKey& key, Program& program, const TokenDemand& demand, const PeerHoldings& others)
    -> Reservation
{
    const auto limit = unrecordedGrantLimit(key, program, demand);
    const auto unclaimedTokens = std::min(m_table.unclaimedTokens(program), others.unclaimedTokens);
    const auto room =
        std::min(unclaimedTokens - std::min(unclaimedTokens, others.unrecordedTokens), limit - std::min(limit, program.unrecordedTokens));
    const auto free = program.holding.free();
    const auto tokens = std::min(demand.maxTokens, free + room);
    if (!mayGrantWithoutStore(key, program, demand, others) ||
        static_cast<double>(tokens) < s_minOutageGrantShare * static_cast<double>(demand.maxTokens)) {
        return {.outcome = BudgetOutcome::Undetermined, .tokens = 0};
    }
    const auto granted = tokens - std::min(tokens, free);
    program.unrecordedTokens += granted;
    program.holding.grant(granted);
    program.holding.reserve(tokens);
    framework::logEvent(framework::LogLevel::Warning, "programs", "tokens_lent",
                        {{"program", key.program},
                         {"tokens", tokens},
                         {"mostTokens", demand.maxTokens},
                         {"lentInAll", program.unrecordedTokens},
                         {"isFirstTurn", demand.isFirstTurn},
                         {"supporters", program.supporters},
                         {"store", framework::nameOf(store::s_storeStateNames, storeState(key))},
                         {"claimMs", claimAge(key).count()}});
    return {.outcome = BudgetOutcome::Reserved, .tokens = tokens, .isRecorded = false};
}

} // namespace laburnummill::programs
