#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>

namespace ggv {

/**
 * @brief Load of a target over the last seconds, averaged over time.
 *
 * Each observation is assumed to hold until the next one, because targets are reported only while
 * they are busy and once when they stop being busy.
 */
class SmoothedLoad
{
public:
    //! Time after which an observation that lasts counts for 63 % of the average.
    static constexpr Duration TimeConstant = std::chrono::seconds(3);

    //! Records the requests at the target per slot, both executing and queued.
    void observe(double loadPerSlot, Instant now) noexcept;
    //! @return The average load per slot; 0 before the first observation.
    [[nodiscard]] double value(Instant now) const noexcept;

    [[nodiscard]] auto operator<=>(const SmoothedLoad &) const noexcept = default;

private:
    double m_average = 0.0; //!< At the time of the latest observation.
    double m_latest = 0.0;
    Instant m_observedAt = Instant::min();
};

/**
 * @brief Computes the factor on a target's share of the objects.
 *
 * A target that stays busy while the others are not has more than its share of the demand; all
 * hosts see the same reports and move the same objects elsewhere. If all targets are busy, moving
 * objects would only empty caches.
 * @param loadPerSlot Smoothed load of the target per slot.
 * @param meanLoadPerSlot Mean of the smoothed loads of the service's targets.
 * @return 1 while the target has free slots or no more than the mean load, lower the more its load
 * exceeds both; above 0.
 */
[[nodiscard]] double objectShareFactor(double loadPerSlot, double meanLoadPerSlot) noexcept;

} // namespace ggv
