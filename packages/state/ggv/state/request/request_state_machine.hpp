#pragma once

#include <ggv/state/request/request_event.hpp>

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>

namespace ggv {

//! How far a request has come.
enum class RequestPhase : std::uint8_t {
    Reading, //!< Not received yet.
    Claiming, //!< Waits for the claim group.
    Queued, //!< Waits for admission and a target.
    Connecting, //!< A target is chosen; no byte of this attempt is sent.
    Sent, //!< A byte of the request may have reached the target.
    Answering, //!< The head of the answer is there.
    Ended, //!< The final verdict is given.
};

//! Answer that the system itself gives to the caller.
struct FinalAnswer
{
    std::uint16_t status = 0;
    ResultCode code = ResultCode::Ok;
    Verdict verdict = Verdict::Unknown;
    std::optional<std::chrono::seconds> retryAfter;

    [[nodiscard]] auto operator<=>(const FinalAnswer &) const noexcept = default;
};

//! How a request ended.
struct RequestResult
{
    ResultCode code = ResultCode::Ok;
    Verdict verdict = Verdict::Unknown;

    [[nodiscard]] auto operator<=>(const RequestResult &) const noexcept = default;
};

//! What the driver of a request has to do after an event, in the order of the members.
struct RequestActions
{
    bool cancelTarget = false; //!< Cancel the attempt and close its connection.
    bool readLateAnswer = false; //!< Go on reading the target's answer after the final verdict.
    bool requestClaim = false;
    bool releaseClaim = false; //!< The claim is held and no byte was sent.
    bool abandonClaim = false; //!< The claim's answer is not known; a late grant must be released.
    bool completeClaim = false; //!< Record the target's answer.
    bool chooseTarget = false; //!< Ask for admission and a target, or for another target.
    bool connect = false; //!< To the chosen target.
    bool send = false; //!< The first byte of the request may go out.
    bool forwardHead = false; //!< Status and headers may go to the caller.
    bool forwardBody = false; //!< What is there of the body may go to the caller.
    bool completeAnswer = false; //!< End the answer to the caller neatly.
    bool replay = false; //!< Send the kept answer to the caller.
    bool abortCallerConnection = false; //!< Close the caller's connection within the answer.
    std::optional<FinalAnswer> answer; //!< Send it to the caller.

    [[nodiscard]] auto operator<=>(const RequestActions &) const noexcept = default;
};

/**
 * @brief Decides what becomes of one request on one entry host; gives exactly one final verdict.
 *
 * Values in, values out; the driver does the input and output. "Not run" is given only if no byte
 * of the request can have reached a target, or every attempt was refused by NotExecutedHeader, and,
 * for a non-idempotent request, the claim group has granted the claim: without it the same key may
 * have run, or may still run, through another entry host.
 *
 * It is a value without a private implementation, as there is one for every request in flight.
 */
class RequestStateMachine
{
public:
    //! @param deadline When the caller stops waiting.
    explicit RequestStateMachine(Instant deadline) noexcept
        : m_deadline(deadline)
    { }

    /**
     * @brief Handles an event. Events that do not fit the phase or that belong to an earlier
     * attempt have no effect, except that a late grant is released and a late answer recorded.
     * @param event What happened.
     * @param moment When, and under what load.
     * @return What to do now.
     */
    [[nodiscard]] RequestActions apply(const RequestEvent &event,
                                       const RequestEventContext &context);

    //! @return How far the request has come.
    [[nodiscard]] RequestPhase phase() const noexcept { return m_phase; }
    //! @return Number of the current attempt, from 1; 0 before the first one.
    [[nodiscard]] std::uint32_t attempt() const noexcept { return m_attempt; }
    //! @return How it ended; nothing before that.
    [[nodiscard]] const std::optional<RequestResult> &result() const noexcept { return m_result; }

private:
    friend struct RequestTransitions;

    enum class Claim : std::uint8_t { NotRequested, Requested, Granted, Refused };

    Instant m_deadline;
    RequestPhase m_phase = RequestPhase::Reading;
    RequestKind m_kind = RequestKind::Idempotent;
    Claim m_claim = Claim::NotRequested;
    bool m_headParsed = false;
    bool m_attemptSent = false; // The current attempt may have reached a target.
    bool m_mayHaveRun = false; // An earlier attempt may have been executed.
    bool m_forwarding = false; // A byte of the answer may have reached the caller.
    bool m_callerDisconnected = false;
    bool m_readsLateAnswer = false;
    std::uint32_t m_attempt = 0;
    std::optional<RequestResult> m_result;
};

} // namespace ggv
