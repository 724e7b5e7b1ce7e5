#pragma once

#include <ggv/state/claim/claim_table.hpp>
#include <ggv/state/core/result_code.hpp>
#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>

namespace ggv {

//! Header of a 503 answer in which a target states that it did not execute the request.
inline constexpr const char *NotExecutedHeader = "Ggv-Not-Executed";

//! Value of NotExecutedHeader.
inline constexpr const char *NotExecutedValue = "true";

//! The only HTTP status with which NotExecutedHeader is valid.
inline constexpr std::uint16_t NotExecutedStatus = 503;

//! Whether a request may be sent more than once.
enum class RequestKind : std::uint8_t {
    Idempotent,
    NonIdempotent, //!< Requires a claim on its idempotency key before the first byte is sent.
};

//! Events in the processing of one request on its entry host.
enum class RequestEventKind : std::uint8_t {
    HeadParsed, //!< The request head was parsed; requestKind is set.
    Received, //!< The request may be forwarded; a non-idempotent request is complete.
    Refused, //!< The entry host rejects the request; code is set.
    ClaimDecided, //!< The claim group replied; decision and answerStored are set.
    ClaimUnconfirmed, //!< The wait for the claim group's reply ended without a reply.
    TargetChosen, //!< The request was admitted and a target with a free slot was chosen.
    ConnectFailed, //!< No byte of the request was sent on this attempt.
    Connected, //!< The first byte is about to be sent; it is sent only if the actions contain send.
    TargetRefused, //!< Complete answer with NotExecutedStatus and NotExecutedHeader.
    AnswerHeadReceived, //!< Status and headers of the target's answer were received.
    AnswerForwardingStarted, //!< The first byte of the answer is about to be forwarded to the
                             //!< caller; it is forwarded only if the actions contain forwardHead.
    BodyChunk, //!< Part of the answer's body was received.
    AnswerEnded, //!< The complete answer was received.
    AnswerTruncated, //!< The connection was closed in order before the answer was complete.
    ConnectionReset, //!< The connection was reset.
    TargetTimedOut, //!< No byte was received within the maximum time.
    DeadlinePassed,
    CallerDisconnected, //!< The caller's connection was lost.
    HostStopping, //!< The entry host stops without waiting for requests in flight.
};

//! Whether the retry budget and the available targets allow another attempt.
enum class RetryPermit : std::uint8_t {
    Allowed,
    BudgetSpent,
    NoOtherTarget,
};

//! An event with its parameters.
struct RequestEvent
{
    RequestEventKind kind = RequestEventKind::Received;
    std::uint32_t attempt = 0; //!< For target events: number of the attempt.
    RequestKind requestKind = RequestKind::Idempotent; //!< For HeadParsed; NonIdempotent also
                                                       //!< for a key and an unknown service.
    ResultCode code = ResultCode::Ok; //!< For Refused.
    ClaimDecision decision = ClaimDecision::Unresolved; //!< For ClaimDecided.
    bool answerStored = false; //!< For ClaimDecided with Finished: a complete answer is stored.
    RetryPermit retry = RetryPermit::NoOtherTarget; //!< For events that end an attempt.

    [[nodiscard]] auto operator<=>(const RequestEvent &) const noexcept = default;
};

//! Time, load and randomness at an event.
struct RequestEventContext
{
    Instant now;
    double overload = 0.0; //!< Parameter of retryAfter().
    std::uint64_t random = 0; //!< Parameter of retryAfter().
};

} // namespace ggv
