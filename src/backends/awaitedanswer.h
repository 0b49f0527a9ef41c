#pragma once

#include "backends/backendregistry.h"

namespace laburnummill::backends {

/// Registers a request with its backend server while no byte of the response has arrived. The destructor removes it.
class AwaitedAnswer
{
public:
    /// The response counts as overdue from `overdueAt` on.
    AwaitedAnswer(BackendPtr backend, framework::Instant overdueAt)
        : m_backend(std::move(backend))
        , m_position(m_backend->overdueTimes.insert(overdueAt))
    {}

    ~AwaitedAnswer() { m_backend->overdueTimes.erase(m_position); }

    AwaitedAnswer(const AwaitedAnswer&) = delete;
    auto operator=(const AwaitedAnswer&) -> AwaitedAnswer& = delete;

private:
    BackendPtr m_backend;
    std::multiset<framework::Instant>::iterator m_position;
};

} // namespace laburnummill::backends
