#pragma once

#include "backends/backendregistry.h"

namespace laburnummill::backends {

/// A request at a backend server of which nothing has come back yet; withdrawn with the object.
class AwaitedAnswer
{
public:
    /// From `overdueAt` on the answer takes unusually long.
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
