#pragma once

#include <ggv/coordination/gateway/gateway_context.hpp>
#include <ggv/coordination/gateway/peer_forwarding.hpp>
#include <ggv/state/log/event_log.hpp>
#include <ggv/state/storage/disk.hpp>
#include <ggv/transport/http/http_server.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>

namespace ggv {

/**
 * @brief Serves one request: selects route and target, forwards the request, retries it if allowed
 * and sends the response.
 *
 * A non-idempotent request is retried only if no byte of it was sent or the target stated that it
 * did not execute it. A response 503 or 429 of this system means that the request was not executed.
 * While this host reaches no target, requests go to forwarding peers instead.
 */
class GatewayRequest : public std::enable_shared_from_this<GatewayRequest>
{
public:
    //! @param context Shared state; must outlive the request. @param caller The caller's exchange.
    //! @param origin Who the caller is; a peer's request is never forwarded to another peer.
    GatewayRequest(GatewayContext &context, ServerExchange &caller,
                   RequestOrigin origin = RequestOrigin::Caller);

    //! Serves the request. On return, the response was sent or the connection was aborted.
    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    //! Bytes of a body that are read at a time.
    static constexpr std::size_t ChunkBytes = 4UL * 1024;

    //! Result of one attempt at a target.
    enum class AttemptResult : std::uint8_t {
        Answered, //!< The response was buffered or forwarded completely.
        NotConnected, //!< No target or no connection; no byte was sent.
        NotExecuted, //!< The target states that it did not execute the request.
        Failed, //!< The target responded with 5xx; another target may succeed.
        Lost, //!< No complete response; the request may have been executed.
        DeadlinePassed, //!< The request may have been executed.
        CallerDisconnected,
    };

    [[nodiscard]] Duration maxRoutesWait() const;
    [[nodiscard]] boost::asio::awaitable<void> findRoute();
    [[nodiscard]] boost::asio::awaitable<void> rejectUnknownRoute();
    [[nodiscard]] bool selectRoute();
    [[nodiscard]] Duration remainingTime() const;
    [[nodiscard]] bool hasTimeForAttempt() const;
    [[nodiscard]] bool outlastsProcess() const;
    [[nodiscard]] boost::asio::awaitable<bool> receiveBody();
    [[nodiscard]] boost::asio::awaitable<bool> bufferBody();
    [[nodiscard]] boost::asio::awaitable<void> forward();
    [[nodiscard]] boost::asio::awaitable<AttemptResult> attempt();
    [[nodiscard]] boost::asio::awaitable<AttemptResult> attemptAtPeer();
    [[nodiscard]] boost::asio::awaitable<std::optional<Error>> connect(const Endpoint &endpoint);
    [[nodiscard]] boost::asio::awaitable<AttemptResult> exchange();
    [[nodiscard]] boost::asio::awaitable<AttemptResult> readAnswer();
    [[nodiscard]] boost::asio::awaitable<AttemptResult> forwardAnswer(HttpAnswerHead head);
    [[nodiscard]] boost::asio::awaitable<void> sendBufferedAnswer();
    [[nodiscard]] bool shouldRetry(AttemptResult end);
    [[nodiscard]] bool mayConnectElsewhere();
    [[nodiscard]] bool mayResendUnexecuted();
    void admitRejectingTarget();
    [[nodiscard]] bool needsNewConnection() const;
    [[nodiscard]] bool mayUsePeers();
    [[nodiscard]] boost::asio::awaitable<void> completeRequest(AttemptResult end);
    [[nodiscard]] boost::asio::awaitable<void> reject(std::uint16_t status, const char *reason);
    [[nodiscard]] const char *lossReason() const;
    [[nodiscard]] const char *rejectionReason() const;
    [[nodiscard]] RetryDelay retryDelay(std::string_view reason);
    [[nodiscard]] HttpRequestHead forwardedHead() const;
    [[nodiscard]] AttemptResult classifyAnswer(const HttpAnswerHead &head);
    [[nodiscard]] AttemptResult classifyPeerAnswer(const HttpAnswerHead &head);
    [[nodiscard]] const Endpoint &receiver() const;
    [[nodiscard]] AttemptResult onAttemptFailed(const Error &error);
    [[nodiscard]] AttemptResult onPeerUnreachable(const Error &error);
    [[nodiscard]] AttemptResult onConnectFailed(const Error &error);
    [[nodiscard]] RequestFingerprint fingerprint();
    [[nodiscard]] std::optional<Duration> remainingQuarantine();
    void recordAnswered();
    void recordArrival();
    void logRetry(AttemptResult end) const;
    void logUnreadBody(const Error &error) const;
    void recordTargetState(const HttpAnswerHead &head);
    void recordRetryAfter(const HttpAnswerHead &head);
    void recordRateLimit(const HttpAnswerHead &head);
    void finishAttempt(std::optional<TargetOutcome> outcome, bool reusable);
    void onCallerDisconnected();
    [[nodiscard]] boost::asio::awaitable<void> serve();
    void logAnswered(std::uint16_t status);
    [[nodiscard]] const char *successReason(Instant now) const;
    void logCompletion(LogLevel level, const char *event, std::uint16_t status,
                       std::string_view reason);
    void recordCompletion(const char *event, std::string_view reason);
    [[nodiscard]] bool idempotent() const;

    GatewayContext &m_context;
    ServerExchange &m_caller;
    RequestOrigin m_origin;
    PeerForwarding m_peers;
    Instant m_startedAt;
    Instant m_deadline {};
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    std::string m_requestId;
    TargetQuery m_query;
    MemoryReservation m_bodyMemory;
    Bytes m_body;
    std::optional<RequestFingerprint> m_fingerprint; //!< Computed when it is first needed.
    TargetChoice m_choice;
    std::string m_rejectingInstance; //!< Target that may be sent this request again.
    std::unique_ptr<ClientExchange> m_exchange;
    Instant m_sentAt {};
    std::uint32_t m_sendCount = 0; //!< Attempts in which bytes may have reached a target or peer.
    std::uint32_t m_notExecutedCount
        = 0; //!< Sends that the target or peer reported as not executed.
    std::uint32_t m_connectFailures = 0;
    std::uint16_t m_forwardedStatus = 0; //!< Status of a response that is streamed to the caller.
    bool m_answerStarted = false; //!< A response head was received in the current attempt.
    bool m_isArrivalRecorded = false; //!< In the retry budget of the service.
    bool m_avoidsTargets = false; //!< Targets were unreachable; the request goes to peers.
    bool m_mayHaveExecuted = false;
    bool m_isCompleted = false; //!< Completion was recorded, and logged unless rate-limited.
    std::shared_ptr<bool> m_callerDisconnected = std::make_shared<bool>(false);
    //! Complete response of a target, not yet sent to the caller.
    std::optional<std::pair<HttpAnswerHead, Bytes>> m_bufferedAnswer;
};

} // namespace ggv
