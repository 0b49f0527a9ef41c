#include "coordination/internal/invariants.h"

#include "framework/global/nametable.h"

#include <numeric>

namespace laburnummill::coordination {

namespace {

constexpr auto s_invariantNames = framework::NameTable<Invariant, 4>{{
    {Invariant::ViewNumberRises, "view_number_rises"},
    {Invariant::OneContentPerView, "one_content_per_view"},
    {Invariant::LeaseBounded, "lease_bounded"},
    {Invariant::FencedWithoutPromise, "fenced_unpromised"},
}};

} // namespace

auto Invariants::check(Invariant invariant, bool holds) -> bool
{
    if (!holds) {
        ++m_violations.at(static_cast<std::size_t>(invariant));
    }
    return holds;
}

auto Invariants::violations() const -> std::uint64_t
{
    return std::accumulate(m_violations.begin(), m_violations.end(), std::uint64_t{0});
}

auto Invariants::toJson() const -> framework::Json
{
    auto document = framework::Json::object();
    for (const auto& [invariant, name] : s_invariantNames) {
        document[std::string(name)] = m_violations.at(static_cast<std::size_t>(invariant));
    }
    return document;
}

} // namespace laburnummill::coordination
