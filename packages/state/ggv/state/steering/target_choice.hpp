#pragma once

#include <ggv/state/core/random_source.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/health/health_state.hpp>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>

namespace ggv {

//! Location of a target relative to the entry host.
enum class Proximity : std::uint8_t { SameDomain, SameRegion, OtherRegion };

/**
 * @brief State of one target at the time of a decision.
 *
 * For a target in another region whose link or shift budget is exhausted, limit is 0.
 */
struct TargetCandidate
{
    std::uint32_t index = 0; //!< Identifies the target; returned by TargetOrder.
    Proximity proximity = Proximity::SameDomain;
    HealthState health = HealthState::Working;
    double weight = 1.0; //!< From slow start and drains: 0 for no requests, 1 for a full share.
    std::uint32_t inFlight = 0; //!< Unanswered requests of this host.
    std::uint32_t limit = 0; //!< Minimum of the leased share and the adaptive limit.
    Duration roundTrip { 0 }; //!< Network round-trip time.
    Duration serviceTime { 0 }; //!< Expected execution time.

    [[nodiscard]] auto operator<=>(const TargetCandidate &) const noexcept = default;
};

//! Parameters of chooseTarget().
struct ChoicePolicy
{
    double loadFactor
        = 0.5; //!< Share of the service time added to the cost of a fully utilized target.
    double suspectWeight = 0.05; //!< Share of requests that may be sent to a Suspect target.
    //! Expected wait for a slot in the host's region. A target in another region is chosen only if
    //! its additional round-trip time does not exceed this wait.
    Duration ownRegionWait = Duration::max();

    [[nodiscard]] auto operator<=>(const ChoicePolicy &) const noexcept = default;
};

//! The chosen target and alternatives, best first; does not allocate memory.
class TargetOrder
{
public:
    static constexpr std::size_t Capacity = 3;

    //! @return Number of targets; 0 if none can accept the request.
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    //! @return True if no target can accept the request.
    [[nodiscard]] bool empty() const noexcept { return m_size == 0; }
    //! @return TargetCandidate::index of the best target; undefined if empty.
    [[nodiscard]] std::uint32_t front() const noexcept { return m_indices[0]; }
    //! @return TargetCandidate::index of all targets, best first.
    [[nodiscard]] std::span<const std::uint32_t> indices() const noexcept
    {
        return { m_indices.data(), m_size };
    }

    /**
     * @brief Appends a target; ignored if Capacity is reached.
     * @param index TargetCandidate::index of the target.
     */
    void append(std::uint32_t index) noexcept
    {
        if (m_size < Capacity)
            m_indices[m_size++] = index;
    }

    [[nodiscard]] auto operator<=>(const TargetOrder &) const noexcept = default;

private:
    std::array<std::uint32_t, Capacity> m_indices {};
    std::size_t m_size = 0;
};

/**
 * @brief Chooses the eligible target with the lowest expected completion time.
 *
 * Targets of the host's region are preferred. Another region is used only if none of them has a
 * free slot and the additional round-trip time is at most the expected wait for a slot. A target
 * that is at its limit, leaving, down or of weight 0 is never chosen.
 *
 * @param candidates Targets of the service.
 * @param random Source for tie-breaking and for applying weights.
 * @param policy Parameters.
 * @return The targets to try, best first; empty if none can accept the request.
 */
[[nodiscard]] TargetOrder chooseTarget(std::span<const TargetCandidate> candidates,
                                       RandomSource &random, const ChoicePolicy &policy) noexcept;

} // namespace ggv
