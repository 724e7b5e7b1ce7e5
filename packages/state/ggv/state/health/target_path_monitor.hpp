#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace ggv {

//! Whether an entry host can reach targets at all.
enum class TargetPathState : std::uint8_t {
    Open, //!< Failures, if any, are those of single targets.
    Suspected, //!< Failures in several failure domains; probes must decide.
    Lost, //!< No probe was established since.
};

//! How an attempt to reach a target failed.
enum class PathFailure : std::uint8_t {
    Refused, //!< The connection was refused or reset.
    Silent, //!< Nothing came back in time; also the sign of a congested link.
};

//! @return Name of the state for logs.
[[nodiscard]] std::string_view targetPathStateName(TargetPathState state) noexcept;

/**
 * @brief Tells an entry host that is cut off from all targets from the failure of some targets.
 *
 * Failures at several targets of several failure domains without an established connection since
 * raise a suspicion; probes confirm or refute it. One established connection ends it. An answer on
 * an old connection refutes silence, but not refusals: old connections may live on while new ones
 * are refused.
 * Takes the current time as an argument. Not thread-safe.
 */
class TargetPathMonitor
{
public:
    //! Number of distinct failed targets that raise a suspicion.
    static constexpr std::size_t MinFailedTargets = 3;
    //! Number of their failure domains, if that many have targets.
    static constexpr std::size_t MinFailedDomains = 2;
    //! Age from which a failure no longer counts.
    static constexpr Duration FailureWindow = std::chrono::seconds(5);
    //! Time between two rounds of probes.
    static constexpr Duration ProbeInterval = std::chrono::milliseconds(500);
    //! Time from the end of a suspicion in which no new one is raised; bounds the number of probes.
    static constexpr Duration MinTimeBetweenSuspicions = std::chrono::seconds(1);

    //! Records that a connection to a target failed, or that a request was not acknowledged.
    //! @param instance The target. @param domain Its failure domain. @param kind How it failed.
    void observeFailure(std::string_view instance, const FailureDomainName &domain,
                        PathFailure kind, Instant now);
    //! Records that an answer of any target arrived.
    void observeAnswer(Instant now);
    //! Records that a new connection to any target was established.
    void observeConnection(Instant now);
    //! Sets the number of failure domains with listed targets. Without any, the state is Open.
    void setDomains(std::size_t listed);
    //! Records the result of a round of probes. @param anyEstablished At least one connected.
    void observeProbes(bool anyEstablished, Instant now);

    [[nodiscard]] TargetPathState state() const noexcept { return m_state; }
    [[nodiscard]] bool isOpen() const noexcept { return m_state == TargetPathState::Open; }
    [[nodiscard]] bool isLost() const noexcept { return m_state == TargetPathState::Lost; }
    //! @return True if a round of probes should start unless one is running.
    [[nodiscard]] bool isProbeDue(Instant now) const noexcept;
    //! @return When the next round of probes should start, if the state is not Open.
    [[nodiscard]] Instant probeDueAt() const noexcept { return m_probeDueAt; }
    //! @return Number of distinct targets that failed, as evidence for the current state.
    [[nodiscard]] std::size_t failedTargets() const noexcept { return m_failures.size(); }
    //! @return Number of failure domains of these targets.
    [[nodiscard]] std::size_t failedDomains() const;
    //! @return Time from which failures counted as evidence for the current or last suspicion.
    [[nodiscard]] Instant evidenceSince() const noexcept { return m_evidenceSince; }

private:
    //! Latest failure at a target.
    struct Failure
    {
        FailureDomainName domain;
        PathFailure kind = PathFailure::Refused;
        Instant at;
    };

    [[nodiscard]] bool isEvidenceSufficient() const;
    void reopen(Instant now) noexcept;

    std::map<std::string, Failure, std::less<>> m_failures; //!< By instance.
    std::size_t m_listedDomains = MinFailedDomains;
    TargetPathState m_state = TargetPathState::Open;
    Instant m_evidenceSince = Instant::min();
    Instant m_probeDueAt = Instant::min();
    Instant m_suspectableAt = Instant::min(); //!< Earliest time of the next suspicion.
};

} // namespace ggv
