#include "coordination/coordinationtypes.h"

#include "framework/global/nametable.h"

namespace laburnummill::coordination {

namespace {

constexpr auto s_shardKindNames = framework::NameTable<ShardKind, 4>{{
    {ShardKind::Program, "program"},
    {ShardKind::ClientAccount, "client_account"},
    {ShardKind::Pool, "pool"},
    {ShardKind::Fingerprint, "fingerprint"},
}};

} // namespace

auto shardKindName(ShardKind kind) -> std::string_view
{
    return framework::nameOf(s_shardKindNames, kind);
}

} // namespace laburnummill::coordination
