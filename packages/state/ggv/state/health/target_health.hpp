#pragma once

#include <ggv/state/core/time.hpp>
#include <ggv/state/health/health_state.hpp>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>

namespace ggv {

//! Origin of a statement that a target is or is not leaving.
enum class EvidenceSource : std::uint8_t {
    Register, //!< Stamp: version of the register.
    Platform, //!< Stamp: time or generation of the platform's list.
    Target, //!< Stamp: time at which the answered probe or request was sent.
};

//! How one request or probe to a target ended.
enum class TargetOutcome : std::uint8_t {
    Success,
    Refused, //!< Connection refused.
    Reset, //!< Connection lost before the answer was complete.
    TimedOut,
    Overloaded, //!< Status 503: the target is healthy and sheds load.
};

//! @return True if the outcome is evidence that the target does not work.
[[nodiscard]] bool isFailure(TargetOutcome outcome) noexcept;

//! Parameters of TargetHealth.
struct HealthPolicy
{
    std::uint32_t suspectAfter = 1; //!< Consecutive failures that make a target Suspect.
    std::uint32_t downAfter = 3; //!< Consecutive failures that make a target Down.
    double suspectRatio = 0.3; //!< Failure ratio above which a target is Suspect.
    double ratioStep = 0.1; //!< Weight of the newest outcome in the failure ratio.
    Duration firstBackoff { 1'000'000 }; //!< Time until the first trial request.
    Duration maximumBackoff { 16'000'000 };
    Duration slowStart { 10'000'000 }; //!< Time from the first success to the full weight.
    double startWeight = 0.1; //!< Weight at the beginning of slow start.

    [[nodiscard]] auto operator<=>(const HealthPolicy &) const noexcept = default;
};

/**
 * @brief Combines all evidence on one target into a health state and a weight.
 *
 * The newest statement of each source on leaving applies, whatever the order of arrival; the target
 * is leaving if any of these says so. Requests and probes are tracked separately and the worse
 * state applies. Only successes raise the weight; the passing of time does not.
 */
class TargetHealth
{
public:
    //! @return State of a target that is assumed healthy and warm, as at the start of this process.
    [[nodiscard]] static TargetHealth warm(const HealthPolicy &policy = {}) noexcept;
    //! @return State of a target with cold caches, because it is new or has restarted.
    [[nodiscard]] static TargetHealth cold(const HealthPolicy &policy = {}) noexcept;

    /**
     * @brief Records a statement on whether the target is leaving.
     * @param source Origin of the statement.
     * @param stamp Orders the statements of one source; on equal stamps leaving wins.
     * @param isLeaving True if the source says that the target is leaving.
     */
    void observeLeaving(EvidenceSource source, std::uint64_t stamp, bool isLeaving) noexcept;

    /**
     * @brief Records the outcome of a request of this host.
     * @param outcome How the request ended.
     * @param sentAt When the request was sent; a success of a request that was sent before the last
     * failure does not reset the failure count.
     * @param now Current time.
     */
    void observeRequest(TargetOutcome outcome, Instant sentAt, Instant now) noexcept;

    //! @copydoc observeRequest
    void observeProbe(TargetOutcome outcome, Instant sentAt, Instant now) noexcept;

    //! @return The state at the given time; Down becomes Suspect after the backoff.
    [[nodiscard]] HealthState state(Instant now) const noexcept;

    //! @return Slow-start weight from startWeight to 1; 0 if the target is leaving.
    [[nodiscard]] double weight() const noexcept;

    [[nodiscard]] auto operator<=>(const TargetHealth &) const noexcept = default;

private:
    static constexpr std::size_t SourceCount = 3;

    //! Newest statement of one source; ordered by stamp, then by isLeaving.
    struct LeavingStatement
    {
        std::uint64_t stamp = 0;
        bool isLeaving = false;

        [[nodiscard]] auto operator<=>(const LeavingStatement &) const noexcept = default;
    };

    //! Failures of requests or of probes.
    struct FailureTrack
    {
        std::uint32_t consecutive = 0;
        std::uint32_t downPeriods = 0; //!< Consecutive failed trials; each doubles the backoff.
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
    Instant m_startedAt {}; //!< First success after the target was cold or down.
    Instant m_lastSuccessAt {};
};

/**
 * @brief Prevents faulty evidence from taking too many targets out of service.
 *
 * If more than the given share of the targets that are not leaving is down, the evidence is assumed
 * to be wrong: all Down targets become Suspect, so that each receives trial requests.
 *
 * @param states States of the targets of one service; changed in place.
 * @param maximumDownShare Share of the targets that may be down, from 0 to 1.
 * @return True if states were changed.
 */
bool applyPanicRule(std::span<HealthState> states, double maximumDownShare) noexcept;

} // namespace ggv
