#pragma once

#include <memory>
#include <utility>

namespace laburnummill::framework {

/// Number of pieces of work under way. Each counts until its token ends: also if the work ends by an exception, or together with the
/// executor that ran it, after the count's own end.
class WorkCount
{
public:
    class Token
    {
    public:
        explicit Token(std::shared_ptr<int> count)
            : m_count(std::move(count))
        {
            ++*m_count;
        }
        Token(Token&& other) noexcept = default;
        Token(const Token&) = delete;
        auto operator=(const Token&) -> Token& = delete;
        auto operator=(Token&&) -> Token& = delete;
        ~Token()
        {
            if (m_count) {
                --*m_count;
            }
        }

    private:
        std::shared_ptr<int> m_count;
    };

    auto begin() const -> Token { return Token(m_count); }
    auto count() const -> int { return *m_count; }

private:
    std::shared_ptr<int> m_count = std::make_shared<int>(0);
};

} // namespace laburnummill::framework
