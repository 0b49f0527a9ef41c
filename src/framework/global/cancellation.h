#pragma once

#include <functional>
#include <memory>
#include <vector>

namespace laburnummill::framework {

/// Tells running work that nobody waits for it any more. Used within one executor.
class Cancellation
{
public:
    auto cancelled() const -> bool { return m_cancelled; }

    /// Cancels once; later calls do nothing.
    auto cancel() -> void
    {
        if (m_cancelled) {
            return;
        }
        m_cancelled = true;
        const auto handlers = std::move(m_handlers);
        for (const auto& handler : handlers) {
            handler();
        }
    }

    /// Calls `handler` on cancellation; at once where it came already.
    auto onCancel(std::function<void()> handler) -> void
    {
        if (m_cancelled) {
            handler();
            return;
        }
        m_handlers.push_back(std::move(handler));
    }

private:
    bool m_cancelled = false;
    std::vector<std::function<void()>> m_handlers;
};

using CancellationPtr = std::shared_ptr<Cancellation>;

} // namespace laburnummill::framework
