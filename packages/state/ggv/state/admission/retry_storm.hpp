#pragma once

#include <ggv/state/core/random_source.hpp>
#include <ggv/state/core/time.hpp>

#include <compare>

namespace ggv {

//! Parameters of a RetryStormGuard.
struct RetryStormPolicy
{
    Duration timeConstant { 5'000'000 }; //!< Time constant of the shed rate.
    double jitter = 0.5; //!< Largest relative change of a hint, up or down.
    Duration minimumRetryAfter { 200'000 };
    Duration maximumRetryAfter { 30'000'000 };

    [[nodiscard]] auto operator<=>(const RetryStormPolicy &) const noexcept = default;
};

/**
 * @brief Spreads the retries of callers that were shed, so that they fit into the capacity.
 *
 * The hint grows with the backlog of shed requests relative to the served rate, and jitter keeps
 * callers that were shed together from coming back together.
 */
class RetryStormGuard
{
public:
    //! @param policy Parameters.
    explicit RetryStormGuard(const RetryStormPolicy &policy = {}) noexcept;

    //! Notes a request that was served.
    void onServed(Instant now) noexcept;

    /**
     * @brief Notes a request that is shed.
     * @param shortest Least time after which a retry makes sense, as from decideAdmission().
     * @param random Source of the jitter.
     * @param now Current time.
     * @return The Retry-After for this caller, within the policy's bounds.
     */
    [[nodiscard]] Duration onShed(Duration minimum, RandomSource &random, Instant now) noexcept;

private:
    void decay(Instant now) noexcept;

    RetryStormPolicy m_policy;
    double m_served = 0.0; //!< Decayed count.
    double m_shed = 0.0; //!< Decayed count.
    Instant m_decayedAt {};
};

} // namespace ggv
