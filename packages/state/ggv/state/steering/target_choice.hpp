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

//! Where a target is, seen from the entry host.
enum class Proximity : std::uint8_t { SameDomain, SameRegion, OtherRegion };

/**
 * @brief What an entry host knows about one target at the moment of a decision.
 *
 * A target in another region whose link or shift budget is used up is passed with limit 0.
 */
struct TargetCandidate
{
    std::uint32_t index = 0; //!< The caller's own number for the target.
    Proximity proximity = Proximity::SameDomain;
    HealthState health = HealthState::Working;
    double weight = 1.0; //!< From slow start and drains: 0 gets no work, 1 a full share.
    std::uint32_t inFlight = 0; //!< Requests of this host that the target has not answered.
    std::uint32_t limit = 0; //!< The smaller of the leased share and the adaptive limit.
    Duration roundTrip { 0 }; //!< Network only.
    Duration serviceTime { 0 }; //!< Expected execution time.

    [[nodiscard]] auto operator<=>(const TargetCandidate &) const noexcept = default;
};

//! Parameters of chooseTarget().
struct ChoicePolicy
{
    double loadFactor
        = 0.5; //!< Share of the service time added to the cost of a fully used target.
    double suspectWeight = 0.05; //!< Share of requests that may try a suspect target.
    //! Expected wait for a slot in the own region; another region must save more than that.
    Duration ownRegionWait = Duration::max();

    [[nodiscard]] auto operator<=>(const ChoicePolicy &) const noexcept = default;
};

//! The chosen target and the ones to try after it, best first; holds no heap memory.
class TargetOrder
{
public:
    static constexpr std::size_t Capacity = 3;

    //! @return Number of targets; 0 if none can take the request.
    [[nodiscard]] std::size_t size() const noexcept { return m_size; }
    //! @return True if no target can take the request.
    [[nodiscard]] bool empty() const noexcept { return m_size == 0; }
    //! @return TargetCandidate::index of the best target; only when not empty.
    [[nodiscard]] std::uint32_t front() const noexcept { return m_indices[0]; }
    //! @return TargetCandidate::index of every target, best first.
    [[nodiscard]] std::span<const std::uint32_t> indices() const noexcept
    {
        return { m_indices.data(), m_size };
    }

    /**
     * @brief Adds a target after the others; ignored when full.
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
 * @brief Chooses the target with the least expected completion time that may take a request.
 *
 * Targets of the own region go first. Another region is used only if none of them has a free slot
 * and its longer way is shorter than the expected wait for one. A target at its limit, leaving,
 * down or of weight 0 is never chosen.
 *
 * @param candidates Targets of the service.
 * @param random Breaks ties and applies weights.
 * @param policy Parameters.
 * @return The targets to try, best first; empty if none may take the request.
 */
[[nodiscard]] TargetOrder chooseTarget(std::span<const TargetCandidate> candidates,
                                       RandomSource &random, const ChoicePolicy &policy) noexcept;

} // namespace ggv
