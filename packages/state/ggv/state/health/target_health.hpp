#pragma once

#include <ggv/state/core/time.hpp>
#include <ggv/state/health/health_state.hpp>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>

namespace ggv {

//! Who says that a target is leaving or is not.
enum class EvidenceSource : std::uint8_t {
    Register, //!< Stamp: version of the register.
    Platform, //!< Stamp: time or generation of the platform's list.
    Target, //!< Stamp: when the probe or request that it answered was sent.
};

//! How one request or probe to a target ended.
enum class TargetOutcome : std::uint8_t {
    Success,
    Refused, //!< Connection refused.
    Reset, //!< Connection lost before the whole answer.
    TimedOut,
    Overloaded, //!< 503: the target works and sheds load.
};

//! Parameters of TargetHealth.
struct HealthPolicy
{
    std::uint32_t suspectAfter = 1; //!< Consecutive failures.
    std::uint32_t downAfter = 3; //!< Consecutive failures.
    double suspectRatio = 0.3; //!< Share of recent requests that failed.
    double ratioStep = 0.1; //!< Weight of the newest outcome in that share.
    Duration firstBackoff { 1'000'000 }; //!< Time without work until the first trial request.
    Duration maximumBackoff { 16'000'000 };
    Duration slowStart { 10'000'000 }; //!< From the first success to a full share of work.
    double startWeight = 0.1; //!< Share of work at the beginning of slow start.

    [[nodiscard]] auto operator<=>(const HealthPolicy &) const noexcept = default;
};

/**
 * @brief Folds all evidence on one target into a state and a weight.
 *
 * Each source's newest statement on leaving counts, in whatever order statements arrive; the target
 * is leaving if any of them says so. Own requests and probes are judged apart and the worse one
 * counts. Time alone never improves the weight: only successes do.
 */
class TargetHealth
{
public:
    //! @return A target that is assumed to work and to be warm, as when this process starts.
    [[nodiscard]] static TargetHealth warm(const HealthPolicy &policy = {}) noexcept;
    //! @return A target that is new or has restarted, so that its caches are cold.
    [[nodiscard]] static TargetHealth cold(const HealthPolicy &policy = {}) noexcept;

    /**
     * @brief Takes in a statement on whether the target is leaving.
     * @param source Who says so.
     * @param stamp Orders the statements of one source; on equal stamps leaving wins.
     * @param isLeaving The statement.
     */
    void observeLeaving(EvidenceSource source, std::uint64_t stamp, bool isLeaving) noexcept;

    /**
     * @brief Takes in how a request of this host ended.
     * @param outcome How it ended.
     * @param sentAt When it was sent: a success sent before the last failure proves nothing.
     * @param now Current time.
     */
    void observeRequest(TargetOutcome outcome, Instant sentAt, Instant now) noexcept;

    //! @copydoc observeRequest
    void observeProbe(TargetOutcome outcome, Instant sentAt, Instant now) noexcept;

    //! @return The state at that time; Down turns into Suspect once the backoff has passed.
    [[nodiscard]] HealthState state(Instant now) const noexcept;

    //! @return Slow-start weight from startWeight to 1; 0 if leaving.
    [[nodiscard]] double weight() const noexcept;

    [[nodiscard]] auto operator<=>(const TargetHealth &) const noexcept = default;

private:
    static constexpr std::size_t SourceCount = 3;

    //! Newest statement of one source; ordered by stamp, then by leaving.
    struct LeavingStatement
    {
        std::uint64_t stamp = 0;
        bool isLeaving = false;

        [[nodiscard]] auto operator<=>(const LeavingStatement &) const noexcept = default;
    };

    //! Failures seen in one way, by requests or by probes.
    struct FailureTrack
    {
        std::uint32_t consecutive = 0;
        std::uint32_t downPeriods = 0; //!< Failed trials in a row; doubles the backoff.
        double ratio = 0.0;
        Instant lastFailureAt = Instant::min();

        [[nodiscard]] auto operator<=>(const FailureTrack &) const noexcept = default;
    };

    TargetHealth(const HealthPolicy &policy, bool isWarm) noexcept;
    void observe(FailureTrack &track, TargetOutcome outcome, Instant sentAt, Instant now) noexcept;
    void observeFailure(FailureTrack &track, Instant now) noexcept;
    void observeSuccess(FailureTrack &track, Instant sentAt) noexcept;
    void advanceSlowStart(Instant now) noexcept;
    [[nodiscard]] bool isLeaving() const noexcept;
    [[nodiscard]] HealthState stateOf(const FailureTrack &track, Instant now) const noexcept;
    [[nodiscard]] Duration backoffOf(const FailureTrack &track) const noexcept;

    HealthPolicy m_policy;
    std::array<LeavingStatement, SourceCount> m_statements {};
    FailureTrack m_requests;
    FailureTrack m_probes;
    bool m_isWarm;
    bool m_hasStarted = false;
    Instant m_startedAt {}; //!< First success since the target was cold or down.
    Instant m_lastSuccessAt {};
};

/**
 * @brief Keeps faulty evidence from taking too many targets out of service.
 *
 * If more than the given share of the targets that are not leaving are down, the evidence is not
 * believed: all of the ones that are down become suspect, so that each gets trial requests.
 *
 * @param states States of the targets of one service; changed in place.
 * @param maximumDownShare Share from 0 to 1 that may be down.
 * @return True if the rule applied.
 */
bool applyPanicRule(std::span<HealthState> states, double maximumDownShare) noexcept;

} // namespace ggv
