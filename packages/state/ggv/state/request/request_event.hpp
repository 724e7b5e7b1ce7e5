#pragma once

#include <ggv/state/claim/claim_table.hpp>
#include <ggv/state/core/result_code.hpp>
#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>

namespace ggv {

//! Header of a 503 answer by which a target states that it did not execute the request.
inline constexpr const char *NotExecutedHeader = "Ggv-Not-Executed";

//! Value of NotExecutedHeader.
inline constexpr const char *NotExecutedValue = "true";

//! HTTP status that NotExecutedHeader is valid with.
inline constexpr std::uint16_t NotExecutedStatus = 503;

//! Whether a request may be sent more than once.
enum class RequestKind : std::uint8_t {
    Idempotent,
    NonIdempotent, //!< Needs a claim on its idempotency key before the first byte goes out.
};

//! Things that happen to one request on its entry host.
enum class RequestEventKind : std::uint8_t {
    HeadParsed, //!< Kind is set.
    Received, //!< The request may be forwarded; a non-idempotent one is there whole.
    Refused, //!< The entry host will not forward it; code says why.
    ClaimDecided, //!< The claim group answered; decision and answerStored are set.
    ClaimUnconfirmed, //!< The claim group's answer is not known and is waited for no longer.
    TargetChosen, //!< Admitted, and a target with a free slot was chosen.
    ConnectFailed, //!< No byte of the request was sent on this attempt.
    Connected, //!< The first byte is about to be sent; allowed only if the actions say send.
    TargetRefused, //!< Whole answer with NotExecutedStatus and NotExecutedHeader.
    AnswerHeadReceived, //!< Status and headers of the target's answer are there.
    AnswerForwardingStarted, //!< The first byte of the answer is about to go to the caller; allowed
                             //!< only if the actions say forwardHead.
    BodyChunk, //!< A part of the answer's body is there.
    AnswerEnded, //!< The answer is there whole.
    AnswerTruncated, //!< The connection ended neatly before the answer did.
    ConnectionReset, //!< The connection was reset.
    TargetTimedOut, //!< The longest allowed silence on the connection passed.
    DeadlinePassed,
    CallerDisconnected, //!< The caller's connection is gone.
    HostStopping, //!< The entry host stops without waiting for requests.
};

//! Whether the retry budget and the choice of targets allow another attempt.
enum class RetryPermit : std::uint8_t {
    Allowed,
    BudgetSpent,
    NoOtherTarget,
};

//! Something that happened to a request.
struct RequestEvent
{
    RequestEventKind kind = RequestEventKind::Received;
    std::uint32_t attempt
        = 0; //!< Of target events: RequestStateMachine::attempt() when it was begun.
    RequestKind requestKind = RequestKind::Idempotent; //!< HeadParsed; NonIdempotent too if it has
                                                       //!< a key and its service is not known.
    ResultCode code = ResultCode::Ok; //!< Refused.
    ClaimDecision decision = ClaimDecision::Unresolved; //!< ClaimDecided.
    bool answerStored = false; //!< ClaimDecided, Finished: the kept answer is whole.
    RetryPermit retry = RetryPermit::NoOtherTarget; //!< Events that end an attempt.

    [[nodiscard]] auto operator<=>(const RequestEvent &) const noexcept = default;
};

//! Circumstances of an event.
struct RequestEventContext
{
    Instant now;
    double overload = 0.0; //!< See retryAfter().
    std::uint64_t random = 0; //!< See retryAfter().
};

} // namespace ggv
