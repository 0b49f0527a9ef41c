#pragma once

#include "backends/backendbook.h"

namespace laburnummill::backends {

/// A request at a backend server of which nothing has come back yet; withdrawn with the object.
class AwaitedAnswer
{
public:
    /// From `overdueFrom` on the answer takes unusually long.
    AwaitedAnswer(BackendPtr backend, framework::Instant overdueFrom)
        : m_backend(std::move(backend))
        , m_place(m_backend->awaited.insert(overdueFrom))
    {}

    ~AwaitedAnswer() { m_backend->awaited.erase(m_place); }

    AwaitedAnswer(const AwaitedAnswer&) = delete;
    auto operator=(const AwaitedAnswer&) -> AwaitedAnswer& = delete;

private:
    BackendPtr m_backend;
    std::multiset<framework::Instant>::iterator m_place;
};

} // namespace laburnummill::backends
