#pragma once

#include "backends/backendtypes.h"
#include "calls/callerrors.h"
#include "calls/calltypes.h"
#include "framework/global/asyncqueue.h"

#include <memory>
#include <variant>

namespace laburnummill::calls {

/// Passes pieces of the answer and the outcome from the task of an attempt to the task of a caller. The attempt may outlive
/// the caller.
class AnswerChannel final : public backends::IPieceSink, public std::enable_shared_from_this<AnswerChannel>
{
public:
    explicit AnswerChannel(const framework::asio::any_io_executor& executor)
        : m_items(executor)
        , m_deadline(executor)
    {}

    auto piece(std::string text) -> framework::AsyncResult<void> override
    {
        m_items.push(std::move(text));
        co_return framework::success();
    }

    /// Delivers the outcome and closes the channel. Only the first outcome is delivered.
    auto end(CallOutcome outcome) -> void
    {
        m_items.push(std::move(outcome));
        m_items.end();
    }

    /// Delivers `failure` as the outcome if there is no outcome within `timeout`.
    auto endAfter(framework::Milliseconds timeout, CallFailure failure) -> void
    {
        m_deadline.expires_after(timeout);
        m_deadline.async_wait([weak = weak_from_this(), failure = std::move(failure)](const boost::system::error_code& error) {
            if (const auto self = weak.lock(); self && !error) {
                self->end(failure);
            }
        });
    }

    /// Passes pieces to `sink` until the outcome arrives and returns it. Returns the failure Cancelled if the channel closes
    /// without an outcome or `sink` returns an error.
    auto forward(backends::IPieceSink& sink) -> framework::Async<CallOutcome>
    {
        const auto self = shared_from_this();
        while (true) {
            auto item = co_await m_items.pop();
            if (!item || !item.value()) {
                co_return callFailure(CallError::Cancelled, Ran::Unknown);
            }
            if (auto* outcome = std::get_if<CallOutcome>(&*item.value())) {
                m_deadline.cancel();
                co_return std::move(*outcome);
            }
            if (const auto taken = co_await sink.piece(std::move(std::get<std::string>(*item.value()))); !taken) {
                m_deadline.cancel();
                co_return callFailure(CallError::Cancelled, Ran::Unknown);
            }
        }
    }

private:
    framework::AsyncQueue<std::variant<std::string, CallOutcome>> m_items;
    framework::asio::steady_timer m_deadline;
};

} // namespace laburnummill::calls
