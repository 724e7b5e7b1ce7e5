#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <span>

namespace ggv {

//! Period of a planned drain of a target, failure domain or region.
struct DrainWindow
{
    UnixMillis startsAt = 0; //!< Start of the gradual decrease.
    UnixMillis emptyAt = 0; //!< From this time on, no new requests are assigned.

    [[nodiscard]] auto operator<=>(const DrainWindow &) const noexcept = default;
};

/**
 * @brief Computes the share of its usual requests that a draining entity still receives.
 * @param window Period of the drain.
 * @param now Wall-clock time.
 * @return Decreases linearly from 1 at startsAt to exactly 0 at emptyAt; steps from 1 to 0 if both
 * are equal.
 */
[[nodiscard]] double drainWeight(const DrainWindow &window, UnixMillis now) noexcept;

/**
 * @brief Combines the drains that affect one target: its own, its failure domain's, its region's.
 * @param windows Periods of the drains.
 * @param now Wall-clock time.
 * @return The lowest weight; 1 if there is no drain.
 */
[[nodiscard]] double drainWeight(std::span<const DrainWindow> windows, UnixMillis now) noexcept;

//! Parameters of a ShiftRamp.
struct ShiftRampPolicy
{
    double startRate = 50.0; //!< Initial rate in requests/s, for a region with cold caches.
    double growthPerSecond = 0.2; //!< Relative increase of the allowed rate while it is used.
    double decayPerSecond = 0.02; //!< Relative decrease while it is unused, as caches go cold.
    double burstSeconds = 0.1; //!< Burst size of the token bucket, in seconds of the allowed rate.

    [[nodiscard]] auto operator<=>(const ShiftRampPolicy &) const noexcept = default;
};

/**
 * @brief Limits the requests that a region takes over from another while its caches warm up.
 *
 * The allowed rate starts low, increases only while it is used and never exceeds the cap, which is
 * the host's leased share of the shift cap.
 */
class ShiftRamp
{
public:
    explicit ShiftRamp(const ShiftRampPolicy &policy = {}) noexcept;

    /**
     * @brief Acquires a token for one shifted request if one is available.
     * @param cap Leased share of the shift cap, in requests/s.
     * @param now Current time; times before that of a previous call are treated as equal to it.
     * @return True if the request may be shifted.
     */
    [[nodiscard]] bool tryShift(double cap, Instant now) noexcept;

    /**
     * @brief Checks whether tryShift() would succeed, without acquiring a token.
     * @param cap Leased share of the shift cap, in requests/s.
     * @param now Current time.
     * @return True if a request may be shifted.
     */
    [[nodiscard]] bool canShift(double cap, Instant now) noexcept;

    //! @return The allowed rate in requests/s, bounded by the cap.
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
