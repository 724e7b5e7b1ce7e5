#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>

namespace ggv {

//! Parameters of decideAdmission().
struct ShedPolicy
{
    Duration maximumWait { 500'000 }; //!< Longest time in the queue, whatever the deadline.
    double waitFactor = 4.0; //!< Longest time in the queue, in service times.
    Duration margin { 2'000 }; //!< Part of the deadline kept for the way back and for timers.
    double serviceFactor = 1.0; //!< Expected service times that must fit after the wait.
    Duration minimumRetryAfter { 100'000 };
    Duration maximumRetryAfter { 30'000'000 };

    [[nodiscard]] auto operator<=>(const ShedPolicy &) const noexcept = default;
};

//! Load of a service on this host when a request arrives.
struct AdmissionLoad
{
    std::uint32_t queued = 0; //!< Requests that wait already.
    std::uint32_t slots = 0; //!< Slots that this host may use at the moment.
    bool hasFreeSlot = false; //!< A target could take a request at once.
    Duration serviceTime { 0 }; //!< Expected, network included.

    [[nodiscard]] auto operator<=>(const AdmissionLoad &) const noexcept = default;
};

//! What happens to a request that arrives.
enum class AdmissionAction : std::uint8_t {
    Admit, //!< Send it to a target now.
    Wait, //!< Queue it for at most AdmissionDecision::queueTimeout.
    Shed, //!< Answer "not run" now, with AdmissionDecision::retryAfter.
};

//! The decision on one request.
struct AdmissionDecision
{
    AdmissionAction action = AdmissionAction::Shed;
    Duration queueTimeout { 0 }; //!< For Wait: shed the request then.
    Duration retryAfter { 0 }; //!< For Shed: when a retry may find capacity, without jitter.

    [[nodiscard]] auto operator<=>(const AdmissionDecision &) const noexcept = default;
};

/**
 * @brief Expected time until a slot becomes free for a request that joins the queue.
 * @param load The load.
 * @return The time; Duration::max() if there is no slot at all.
 */
[[nodiscard]] Duration expectedWait(const AdmissionLoad &load) noexcept;

/**
 * @brief Decides on a request at once, so that none is held that will miss its deadline.
 * @param load The load.
 * @param timeLeft Time until the request's deadline.
 * @param policy Parameters.
 * @return The decision; queueTimeout plus service time never passes the deadline.
 */
[[nodiscard]] AdmissionDecision decideAdmission(const AdmissionLoad &load, Duration timeLeft,
                                                const ShedPolicy &policy = {}) noexcept;

} // namespace ggv
