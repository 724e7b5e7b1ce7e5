#pragma once

#include <ggv/state/request/request_event.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>

namespace ggv {

//! Processing phase of a request.
enum class RequestPhase : std::uint8_t {
    Reading, //!< The request is being received.
    Claiming, //!< Waiting for the claim group.
    Queued, //!< Waiting for admission and a target.
    Connecting, //!< A target was chosen; no byte of this attempt was sent.
    Sent, //!< A byte of the request may have reached the target.
    Answering, //!< The head of the answer was received.
    Ended, //!< The final verdict was reached.
};

//! Locally generated answer to the caller.
struct FinalAnswer
{
    std::uint16_t status = 0;
    ResultCode code = ResultCode::Ok;
    Verdict verdict = Verdict::Unknown;
    std::optional<std::chrono::seconds> retryAfter;

    [[nodiscard]] auto operator<=>(const FinalAnswer &) const noexcept = default;
};

//! Final result of a request.
struct RequestResult
{
    ResultCode code = ResultCode::Ok;
    Verdict verdict = Verdict::Unknown;

    [[nodiscard]] auto operator<=>(const RequestResult &) const noexcept = default;
};

//! Actions that the driver of a request must perform after an event, in the order of the members.
struct RequestActions
{
    bool cancelTarget = false; //!< Cancel the attempt and close its connection to the target.
    bool readLateAnswer = false; //!< Continue to read the target's answer after the final verdict.
    bool requestClaim = false; //!< Request a claim on the idempotency key.
    bool releaseClaim = false; //!< Release the granted claim; the request was not executed.
    bool abandonClaim = false; //!< Stop waiting for the claim group; a late grant must be released.
    bool completeClaim = false; //!< Record the target's answer with the claim.
    bool chooseTarget = false; //!< Request admission and a target, or another target.
    bool connect = false; //!< Connect to the chosen target.
    bool send = false; //!< Send the request.
    bool forwardHead = false; //!< Forward status and headers to the caller.
    bool forwardBody = false; //!< Forward the received part of the body to the caller.
    bool completeAnswer = false; //!< Complete the answer to the caller.
    bool replay = false; //!< Send the stored answer to the caller.
    bool abortCallerConnection
        = false; //!< Close the caller's connection before the answer is complete.
    std::optional<FinalAnswer> answer; //!< Send this answer to the caller.

    [[nodiscard]] auto operator<=>(const RequestActions &) const noexcept = default;
};

/**
 * @brief State machine for one request on one entry host; reaches exactly one final verdict.
 *
 * Performs no I/O: the driver supplies events and executes the returned actions. The verdict is
 * "not run" only if no byte of the request can have reached a target or every attempt was refused
 * with NotExecutedHeader, and, for a non-idempotent request, the claim group has granted the claim.
 * Without the claim, a request with the same key may have been or may still be executed through
 * another entry host.
 *
 * A value type without a private implementation, because every request in flight has an instance.
 */
class RequestStateMachine
{
public:
    //! @param deadline Time at which the caller stops waiting.
    explicit RequestStateMachine(Instant deadline) noexcept
        : m_deadline(deadline)
    { }

    /**
     * @brief Handles an event. Events that are invalid in the current phase or belong to an earlier
     * attempt have no effect, except that a late grant is released and a late answer recorded.
     * @param event The event.
     * @param context Time of the event, load and randomness.
     * @return The actions to perform.
     */
    [[nodiscard]] RequestActions apply(const RequestEvent &event,
                                       const RequestEventContext &context);

    [[nodiscard]] RequestPhase phase() const noexcept { return m_phase; }
    //! @return Number of the current attempt, starting at 1; 0 before the first attempt.
    [[nodiscard]] std::uint32_t attempt() const noexcept { return m_attempt; }
    //! @return The final result; empty until the request has ended.
    [[nodiscard]] const std::optional<RequestResult> &result() const noexcept { return m_result; }

private:
    friend struct RequestTransitions;

    enum class Claim : std::uint8_t { NotRequested, Requested, Granted, Refused };

    Instant m_deadline;
    RequestPhase m_phase = RequestPhase::Reading;
    RequestKind m_kind = RequestKind::Idempotent;
    Claim m_claim = Claim::NotRequested;
    bool m_headParsed = false;
    bool m_attemptSent = false; // A byte of the current attempt may have reached a target.
    bool m_mayHaveRun = false; // An earlier attempt may have been executed.
    bool m_forwarding = false; // A byte of the answer may have reached the caller.
    bool m_callerDisconnected = false;
    bool m_readsLateAnswer = false;
    std::uint32_t m_attempt = 0;
    std::optional<RequestResult> m_result;
};

} // namespace ggv
