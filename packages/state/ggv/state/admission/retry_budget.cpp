#include <ggv/state/admission/retry_budget.hpp>

#include <algorithm>

namespace ggv {

RetryBudget::RetryBudget(const RetryBudgetPolicy &policy) noexcept
    : m_policy(policy)
    , m_tokens(policy.burst)
{ }

void RetryBudget::setPolicy(const RetryBudgetPolicy &policy) noexcept
{
    m_policy = policy;
    m_tokens = std::min(m_tokens, policy.burst);
}

void RetryBudget::onRequest(Instant now) noexcept
{
    refill(now);
    m_tokens = std::min(m_policy.burst, m_tokens + m_policy.ratio);
}

bool RetryBudget::tryRetry(Instant now) noexcept
{
    refill(now);
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

void RetryBudget::refill(Instant now) noexcept
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_refilledAt = now;
    }
    if (now <= m_refilledAt)
        return;
    const auto elapsed = std::chrono::duration<double>(now - m_refilledAt);
    m_tokens = std::min(m_policy.burst, m_tokens + m_policy.floorPerSecond * elapsed.count());
    m_refilledAt = now;
}

} // namespace ggv
