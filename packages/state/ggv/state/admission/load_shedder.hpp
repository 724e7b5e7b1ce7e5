#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>

namespace ggv {

//! Parameters of decideAdmission().
struct ShedPolicy
{
    Duration maximumWait { 500'000 }; //!< Maximum time in the queue, independent of the deadline.
    double waitFactor = 4.0; //!< Maximum time in the queue, in service times.
    Duration margin { 2'000 }; //!< Time reserved for returning the answer and for timer delays.
    double serviceFactor = 1.0; //!< Service times that must fit between the wait and the deadline.
    Duration minimumRetryAfter { 100'000 };
    Duration maximumRetryAfter { 30'000'000 };

    [[nodiscard]] auto operator<=>(const ShedPolicy &) const noexcept = default;
};

//! Load of a service on this host when a request arrives.
struct AdmissionLoad
{
    std::uint32_t queued = 0; //!< Requests already waiting.
    std::uint32_t slots = 0; //!< Slots that this host may currently use.
    bool hasFreeSlot = false; //!< A target can accept a request immediately.
    Duration serviceTime { 0 }; //!< Expected service time including the network.

    [[nodiscard]] auto operator<=>(const AdmissionLoad &) const noexcept = default;
};

//! Action for an arriving request.
enum class AdmissionAction : std::uint8_t {
    Admit, //!< Send the request to a target immediately.
    Wait, //!< Queue the request for at most AdmissionDecision::queueTimeout.
    Shed, //!< Answer "not run" immediately, with AdmissionDecision::retryAfter.
};

//! Admission decision for one request.
struct AdmissionDecision
{
    AdmissionAction action = AdmissionAction::Shed;
    Duration queueTimeout { 0 }; //!< For Wait: time after which the request is shed.
    Duration retryAfter { 0 }; //!< For Shed: time until capacity is expected, without jitter.

    [[nodiscard]] auto operator<=>(const AdmissionDecision &) const noexcept = default;
};

/**
 * @brief Estimates how long a request that joins the queue waits for a slot.
 * @return The time; Duration::max() if this host has no slots.
 */
[[nodiscard]] Duration expectedWait(const AdmissionLoad &load) noexcept;

/**
 * @brief Decides on arrival whether to admit, queue or shed a request, so that no request is queued
 * that would miss its deadline.
 * @param load Current load of the service.
 * @param timeLeft Time until the request's deadline.
 * @param policy Parameters.
 * @return The decision; queueTimeout plus the service time does not exceed timeLeft.
 */
[[nodiscard]] AdmissionDecision decideAdmission(const AdmissionLoad &load, Duration timeLeft,
                                                const ShedPolicy &policy = {}) noexcept;

} // namespace ggv
