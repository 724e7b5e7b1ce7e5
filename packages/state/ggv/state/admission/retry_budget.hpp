#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>

namespace ggv {

//! Parameters of a RetryBudget.
struct RetryBudgetPolicy
{
    double ratio = 0.1; //!< Retries per request.
    double floorPerSecond = 1.0; //!< Retries per second that are allowed at any load.
    double burst = 10.0; //!< Unused retries that are kept.

    [[nodiscard]] auto operator<=>(const RetryBudgetPolicy &) const noexcept = default;
};

/**
 * @brief Limits the retries of a host to a share of its requests, so that a retry storm ends.
 *
 * Over any time, retries are at most ratio x requests + floorPerSecond x seconds + burst.
 */
class RetryBudget
{
public:
    //! @param policy Parameters.
    explicit RetryBudget(const RetryBudgetPolicy &policy = {}) noexcept;

    //! Changes the parameters; unused retries beyond the new burst are lost.
    void setPolicy(const RetryBudgetPolicy &policy) noexcept;

    //! Notes a request's first attempt.
    void onRequest(Instant now) noexcept;

    /**
     * @brief Asks for one retry and counts it if allowed.
     * @param now Current time.
     * @return True if the retry may be made.
     */
    [[nodiscard]] bool tryRetry(Instant now) noexcept;

    [[nodiscard]] auto operator<=>(const RetryBudget &) const noexcept = default;

private:
    void refill(Instant now) noexcept;

    RetryBudgetPolicy m_policy;
    double m_tokens;
    bool m_hasStarted = false;
    Instant m_refilledAt {};
};

} // namespace ggv
