#include "scheduling/internal/schedulingcodec.h"

#include "framework/global/digest.h"

namespace laburnummill::scheduling {

using framework::Instant;
using framework::Milliseconds;

auto holderOf(const std::string& host, std::uint64_t incarnation) -> std::uint64_t
{
    return framework::hash64(host + "/" + std::to_string(incarnation));
}

auto toMessage(const ScheduledCall& call, Instant now) -> NeedMessage
{
    auto message = NeedMessage();
    message.set_number(call.key.number);
    message.set_account(call.account);
    message.set_program(call.program);
    message.set_root(call.root);
    message.set_model(call.model);
    message.set_prompt_tokens(call.promptTokens);
    message.set_patience_ms(std::chrono::duration_cast<Milliseconds>(call.deadline - now).count());
    message.set_spilled(call.isOverflow);
    return message;
}

auto callOf(const NeedMessage& message, std::uint64_t holder, Instant now) -> ScheduledCall
{
    return {{holder, message.number()},
            message.account(),
            message.program(),
            message.root(),
            message.model(),
            message.prompt_tokens(),
            now + Milliseconds(message.patience_ms()),
            message.spilled()};
}

auto toMessage(const OpenPermit& permit, std::uint64_t fencing, Instant now) -> PermitMessage
{
    auto message = PermitMessage();
    *message.mutable_need() = toMessage(permit.call, now);
    message.set_engine(permit.engine);
    message.set_start_id(permit.startId);
    message.set_warm(permit.warm);
    message.set_fencing(fencing);
    return message;
}

auto permitOf(const PermitMessage& message, std::uint64_t holder, Instant now) -> OpenPermit
{
    return {callOf(message.need(), holder, now), message.engine(), message.start_id(), message.warm()};
}

auto toMessage(std::uint64_t number, const PermitUse& use) -> ReleaseMessage
{
    auto message = ReleaseMessage();
    message.set_number(number);
    message.set_end(static_cast<std::uint32_t>(use.end));
    message.set_prompt_tokens(use.promptTokens);
    message.set_cached_tokens(use.cachedTokens);
    message.set_completion_tokens(use.completionTokens);
    return message;
}

auto useOf(const ReleaseMessage& message) -> PermitUse
{
    return {static_cast<PermitEnd>(message.end()), message.prompt_tokens(), message.cached_tokens(), message.completion_tokens()};
}

auto keyOf(const Action& action) -> const PermitKey&
{
    if (const auto* granted = std::get_if<Granted>(&action)) {
        return granted->permit.call.key;
    }
    const auto* refused = std::get_if<Refused>(&action);
    return refused != nullptr ? refused->key : std::get<Overflowed>(action).key;
}

auto toMessage(const Action& action, std::uint64_t fencing, Instant now) -> ToExecutor
{
    auto message = ToExecutor();
    if (const auto* granted = std::get_if<Granted>(&action)) {
        *message.mutable_granted() = toMessage(granted->permit, fencing, now);
    } else if (const auto* refused = std::get_if<Refused>(&action)) {
        message.mutable_refused()->set_number(refused->key.number);
        message.mutable_refused()->set_error(static_cast<std::uint32_t>(refused->error));
        message.mutable_refused()->set_retry_after_ms(refused->retryAfter.count());
    } else {
        const auto& overflowed = std::get<Overflowed>(action);
        message.mutable_spilled()->set_number(overflowed.key.number);
        message.mutable_spilled()->set_data_centre(overflowed.dataCentre);
    }
    return message;
}

} // namespace laburnummill::scheduling
