#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <span>

namespace ggv {

//! The time of a planned drain of a target, failure domain or region.
struct DrainWindow
{
    UnixMillis startsAt = 0; //!< The share of work begins to fall.
    UnixMillis emptyAt = 0; //!< No new work from here on.

    [[nodiscard]] auto operator<=>(const DrainWindow &) const noexcept = default;
};

/**
 * @brief Share of its usual work that a draining place still gets.
 * @param window Time of the drain.
 * @param now Wall-clock time.
 * @return Falls linearly from 1 at startsAt to exactly 0 at emptyAt; an empty window is a step.
 */
[[nodiscard]] double drainWeight(const DrainWindow &window, UnixMillis now) noexcept;

/**
 * @brief Combines the drains that concern one target: its own, its failure domain's, its region's.
 * @param windows Times of the drains.
 * @param now Wall-clock time.
 * @return The least weight; 1 if there is no drain.
 */
[[nodiscard]] double drainWeight(std::span<const DrainWindow> windows, UnixMillis now) noexcept;

//! Parameters of a ShiftRamp.
struct ShiftRampPolicy
{
    double startRate = 50.0; //!< Requests/s that a region with cold caches takes over at once.
    double growthPerSecond = 0.2; //!< Relative growth of the allowed rate while it is used.
    double decayPerSecond = 0.02; //!< Relative decline while it is not used: caches go cold again.
    double burstSeconds = 0.1; //!< Unused allowance that may be used at once.

    [[nodiscard]] auto operator<=>(const ShiftRampPolicy &) const noexcept = default;
};

/**
 * @brief Limits the work that a region takes over from another while its caches warm up.
 *
 * The allowed rate starts low, grows only while it is used and never passes the cap, which is the
 * host's leased share of the shift.
 */
class ShiftRamp
{
public:
    //! @param policy Parameters.
    explicit ShiftRamp(const ShiftRampPolicy &policy = {}) noexcept;

    /**
     * @brief Asks to shift one request and counts it if allowed.
     * @param cap Leased share of the shift's cap, in requests/s.
     * @param now Current time; earlier times than before count as the latest one.
     * @return True if the request may be shifted.
     */
    [[nodiscard]] bool tryShift(double cap, Instant now) noexcept;

    /**
     * @brief Asks without counting.
     * @param cap Leased share of the shift's cap, in requests/s.
     * @param now Current time.
     * @return What tryShift() would return.
     */
    [[nodiscard]] bool canShift(double cap, Instant now) noexcept;

    //! @return The allowed rate in requests/s under that cap.
    [[nodiscard]] double allowedRate(double cap) const noexcept;

private:
    void advance(double cap, Instant now) noexcept;

    ShiftRampPolicy m_policy;
    double m_rate;
    double m_tokens = 0.0;
    double m_usedSinceUpdate = 0.0;
    Instant m_updatedAt {};
    Instant m_windowStart {};
    bool m_hasStarted = false;
};

} // namespace ggv
