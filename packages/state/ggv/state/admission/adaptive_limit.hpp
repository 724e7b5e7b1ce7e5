#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>

namespace ggv {

//! Parameters of an AdaptiveLimit.
struct AdaptiveLimitPolicy
{
    double minimumShare = 0.1; //!< Lower bound for the share of the leased slots.
    double highLatencyShare
        = 0.4; //!< Lower bound for the share if latency is the only sign of overload.
    double coldShare = 0.25; //!< Initial share for a cold target.
    double decreaseFactor = 0.7; //!< Factor on the share after a sign of overload.
    Duration decreaseInterval { 200'000 }; //!< Minimum time between two decreases.
    double growthPerSecond = 0.1; //!< Increase of the share per second of successes.
    double latencyTolerance = 2.0; //!< Ratio of recent to baseline latency above which the target
                                   //!< is considered overloaded.
    double recentStep = 0.1; //!< Weight of the newest sample in the recent latency.
    double baselineStep = 0.01; //!< Weight of the newest sample in the baseline latency.

    [[nodiscard]] auto operator<=>(const AdaptiveLimitPolicy &) const noexcept = default;
};

//! Load as reported by a target; may be outdated or wrong.
struct TargetLoadReport
{
    std::uint32_t slots = 0; //!< Requests that the target can execute concurrently.
    std::uint32_t inFlight = 0; //!< Requests that the target executes or has queued.

    [[nodiscard]] auto operator<=>(const TargetLoadReport &) const noexcept = default;
};

/**
 * @brief Limits the concurrent requests of one host to one target to a share of its leased slots.
 *
 * The share decreases on signs of overload (503, time-out, latency well above the baseline) and
 * increases only with successes. Load reports can lower the limit; their absence never raises it.
 */
class AdaptiveLimit
{
public:
    //! @return A limit that starts with all leased slots.
    [[nodiscard]] static AdaptiveLimit warm(const AdaptiveLimitPolicy &policy = {}) noexcept;
    //! @return A limit that starts with the cold share.
    [[nodiscard]] static AdaptiveLimit cold(const AdaptiveLimitPolicy &policy = {}) noexcept;

    /**
     * @brief Records a success.
     * @param latency Time from sending the request to the complete answer.
     * @param now Current time.
     */
    void onSuccess(Duration latency, Instant now) noexcept;

    //! Records a 503 or a time-out.
    void onOverload(Instant now) noexcept;

    //! Applies a load report; the reported slots bound the limit until the next report.
    void onReport(const TargetLoadReport &report, Instant now) noexcept;

    //! Resets the share and the latencies for a target that has restarted.
    void reset() noexcept;

    /**
     * @brief Computes the current limit.
     * @param leasedSlots Slots of the target that are leased to this host.
     * @return At most leasedSlots; at least 1 unless leasedSlots or the reported slots are 0.
     */
    [[nodiscard]] std::uint32_t limit(std::uint32_t leasedSlots) const noexcept;

    //! @return Expected latency of the next request; 0 before the first success.
    [[nodiscard]] Duration expectedLatency() const noexcept;

    [[nodiscard]] auto operator<=>(const AdaptiveLimit &) const noexcept = default;

private:
    AdaptiveLimit(const AdaptiveLimitPolicy &policy, double share) noexcept;
    void observeLatency(double latency) noexcept;
    void increase(Instant now) noexcept;
    void decrease(double factor, double floor, Instant now) noexcept;
    [[nodiscard]] bool hasHighLatency() const noexcept;

    AdaptiveLimitPolicy m_policy;
    double m_share;
    double m_recentLatency = 0.0; //!< In microseconds; 0 before the first success.
    double m_baselineLatency = 0.0; //!< In microseconds; 0 before the first success.
    std::uint32_t m_samples = 0;
    std::uint32_t m_reportedSlots = UINT32_MAX;
    Instant m_increasedAt {};
    Instant m_decreasedAt = Instant::min();
};

} // namespace ggv
