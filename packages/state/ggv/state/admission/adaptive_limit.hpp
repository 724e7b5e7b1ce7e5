#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>

namespace ggv {

//! Parameters of an AdaptiveLimit.
struct AdaptiveLimitPolicy
{
    double minimumShare = 0.1; //!< Share of the leased slots that is always kept in use.
    double highLatencyShare = 0.4; //!< Share that high latency alone leaves in use.
    double coldShare = 0.25; //!< Share at which a cold target starts.
    double dropFactor = 0.7; //!< Factor on the share after a sign of overload.
    Duration dropInterval { 200'000 }; //!< At most one drop in this time.
    double growthPerSecond = 0.1; //!< Share regained per second of successes.
    double latencyTolerance = 2.0; //!< Ratio of recent to usual latency that is not overload.
    double recentStep = 0.1; //!< Weight of the newest latency in the recent one.
    double baselineStep = 0.01; //!< Weight of the newest latency in the usual one.

    [[nodiscard]] auto operator<=>(const AdaptiveLimitPolicy &) const noexcept = default;
};

//! What a target says about its own load; it may lag or be wrong.
struct TargetLoadReport
{
    std::uint32_t slots = 0; //!< Requests that it can execute at the same time.
    std::uint32_t inFlight = 0; //!< Requests that it executes or queues.

    [[nodiscard]] auto operator<=>(const TargetLoadReport &) const noexcept = default;
};

/**
 * @brief Concurrency limit of one host towards one target, as a share of its leased slots.
 *
 * The share falls at signs of overload (503, timeout, latency well above the usual one) and rises
 * only with successes. Reports can lower the limit; their absence never raises it.
 */
class AdaptiveLimit
{
public:
    //! @return A limit that starts with all leased slots.
    [[nodiscard]] static AdaptiveLimit warm(const AdaptiveLimitPolicy &policy = {}) noexcept;
    //! @return A limit that starts with the cold share.
    [[nodiscard]] static AdaptiveLimit cold(const AdaptiveLimitPolicy &policy = {}) noexcept;

    /**
     * @brief Notes a success.
     * @param latency From sending the request to the whole answer.
     * @param now Current time.
     */
    void onSuccess(Duration latency, Instant now) noexcept;

    //! Notes a 503 or a timeout.
    void onOverload(Instant now) noexcept;

    //! Takes in what the target says; only ever lowers the limit, until a later report says more.
    void onReport(const TargetLoadReport &report, Instant now) noexcept;

    //! Returns to the cold share, for a target that has restarted.
    void reset() noexcept;

    /**
     * @brief The limit at this time.
     * @param leasedSlots Slots of the target that are leased to this host.
     * @return At most leasedSlots; at least 1 if there is any.
     */
    [[nodiscard]] std::uint32_t limit(std::uint32_t leasedSlots) const noexcept;

    //! @return Expected latency of the next request; 0 before the first success.
    [[nodiscard]] Duration expectedLatency() const noexcept;

    [[nodiscard]] auto operator<=>(const AdaptiveLimit &) const noexcept = default;

private:
    AdaptiveLimit(const AdaptiveLimitPolicy &policy, double share) noexcept;
    void observeLatency(double latency) noexcept;
    void grow(Instant now) noexcept;
    void drop(double factor, double floor, Instant now) noexcept;
    [[nodiscard]] bool isSlow() const noexcept;

    AdaptiveLimitPolicy m_policy;
    double m_share;
    double m_recentLatency = 0.0; //!< In microseconds; 0 before the first success.
    double m_baselineLatency = 0.0; //!< In microseconds; 0 before the first success.
    std::uint32_t m_samples = 0;
    std::uint32_t m_reportedSlots = UINT32_MAX;
    Instant m_grownAt {};
    Instant m_droppedAt = Instant::min();
};

} // namespace ggv
