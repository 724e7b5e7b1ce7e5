#pragma once

#include <ggv/state/core/random_source.hpp>
#include <ggv/state/core/time.hpp>

#include <compare>

namespace ggv {

//! Parameters of a RetryStormGuard.
struct RetryStormPolicy
{
    Duration timeConstant { 5'000'000 }; //!< Time constant of the decayed request counts.
    double jitter = 0.5; //!< Maximum relative change of a hint, up or down.
    Duration minimumRetryAfter { 200'000 };
    Duration maximumRetryAfter { 30'000'000 };

    [[nodiscard]] auto operator<=>(const RetryStormPolicy &) const noexcept = default;
};

/**
 * @brief Spreads the retries of shed requests over time, so that they fit into the capacity.
 *
 * The Retry-After hint grows with the ratio of shed to served requests. Jitter prevents callers
 * that were shed at the same time from retrying at the same time.
 */
class RetryStormGuard
{
public:
    explicit RetryStormGuard(const RetryStormPolicy &policy = {}) noexcept;

    //! Records a served request.
    void onServed(Instant now) noexcept;

    /**
     * @brief Records a shed request and computes its hint.
     * @param minimum Minimum time until a retry is useful, as computed by decideAdmission().
     * @param random Source of the jitter.
     * @param now Current time.
     * @return Value for Retry-After, within the bounds of the policy.
     */
    [[nodiscard]] Duration onShed(Duration minimum, RandomSource &random, Instant now) noexcept;

private:
    void decay(Instant now) noexcept;

    RetryStormPolicy m_policy;
    double m_served = 0.0; //!< Exponentially decayed count.
    double m_shed = 0.0; //!< Exponentially decayed count.
    Instant m_decayedAt {};
};

} // namespace ggv
