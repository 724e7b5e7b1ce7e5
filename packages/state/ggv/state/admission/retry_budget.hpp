#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>

namespace ggv {

//! Parameters of a RetryBudget.
struct RetryBudgetPolicy
{
    double ratio = 0.1; //!< Retries per request.
    double floorPerSecond = 1.0; //!< Retries per second that are allowed regardless of the load.
    double burst = 10.0; //!< Maximum number of unused retries that accumulate.

    [[nodiscard]] auto operator<=>(const RetryBudgetPolicy &) const noexcept = default;
};

/**
 * @brief Limits the retries of a host to a share of its requests, so that retry storms subside.
 *
 * In any period, retries are at most ratio x requests + floorPerSecond x seconds + burst.
 */
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetPolicy &policy = {}) noexcept;

    //! Replaces the parameters; unused retries above the new burst are discarded.
    void setPolicy(const RetryBudgetPolicy &policy) noexcept;

    //! Records the first attempt of a request.
    void onRequest(Instant now) noexcept;

    /**
     * @brief Consumes one retry of the budget if one is available.
     * @param now Current time.
     * @return True if the retry is allowed.
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
