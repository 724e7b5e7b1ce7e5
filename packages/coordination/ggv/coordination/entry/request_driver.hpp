#pragma once

#include <ggv/coordination/entry/claim_waiter.hpp>
#include <ggv/coordination/entry/entry_context.hpp>
#include <ggv/coordination/entry/entry_loop.hpp>
#include <ggv/coordination/entry/request_plan.hpp>
#include <ggv/coordination/observability/trace.hpp>
#include <ggv/state/request/request_state_machine.hpp>
#include <ggv/transport/http/http_server.hpp>

#include <memory>
#include <set>
#include <string>

namespace ggv {

/**
 * @brief Performs the I/O of one forwarded request, as decided by RequestStateMachine.
 */
class RequestDriver : public std::enable_shared_from_this<RequestDriver>
{
public:
    /**
     * @brief Prepares a request whose head has been received.
     * @param context State shared by all requests; must outlive them.
     * @param loop State of the event loop that owns the caller's connection.
     * @param view Routing view of the register in force.
     * @param caller Exchange with the caller; used until run() returns.
     */
    RequestDriver(EntryContext &context, EntryLoop &loop, std::shared_ptr<const EntryView> view,
                  ServerExchange &caller);

    //! Handles the request. When it returns, the caller has received exactly one final response,
    //! or its connection has been aborted.
    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    [[nodiscard]] RequestActions apply(RequestEvent event);
    [[nodiscard]] RequestActions apply(RequestEventKind kind);
    [[nodiscard]] RequestActions refuse(ResultCode code, std::string message);
    [[nodiscard]] RequestActions finishAttempt(RequestEventKind kind);
    [[nodiscard]] RetryPermit retryPermit();

    [[nodiscard]] boost::asio::awaitable<RequestActions> receive();
    [[nodiscard]] boost::asio::awaitable<void> bufferBody();
    [[nodiscard]] boost::asio::awaitable<RequestActions> claim();
    [[nodiscard]] boost::asio::awaitable<RequestActions> attempt();
    [[nodiscard]] boost::asio::awaitable<RequestActions> exchange();
    [[nodiscard]] boost::asio::awaitable<void> sendRequest();
    [[nodiscard]] boost::asio::awaitable<void> streamRemainingBody();
    [[nodiscard]] boost::asio::awaitable<RequestActions> forwardAnswer();
    [[nodiscard]] RequestActions onAnswerEnded();
    [[nodiscard]] RequestActions onExchangeFailed(const Error &error);
    [[nodiscard]] boost::asio::awaitable<void> completeRequest(RequestActions actions);
    [[nodiscard]] boost::asio::awaitable<void> readLateAnswer();
    [[nodiscard]] boost::asio::awaitable<void> replay();

    void notifyOnDisconnect();
    void onCallerDisconnected();
    void settleClaim(const RequestActions &actions);
    void storeAnswer(const HttpAnswerHead &head);
    void storeAnswer(std::span<const std::uint8_t> bytes);
    void observe(TargetOutcome outcome);
    void chargeLink();
    void recordResult();
    void addTraceHeaders(HttpHeaders &headers) const;
    [[nodiscard]] ServiceMetrics *metrics() const;
    void endExchange(bool reusable);
    [[nodiscard]] HttpRequestHead forwardedHead() const;
    [[nodiscard]] HttpAnswerHead answerHead(const HttpAnswerHead &head) const;
    [[nodiscard]] ClaimRequest claimRequest() const;
    [[nodiscard]] Instant stepDeadline() const;
    [[nodiscard]] bool isNonIdempotent() const noexcept;

    EntryContext &m_context;
    EntryLoop &m_loop;
    std::shared_ptr<const EntryView> m_view;
    ServerExchange &m_caller;
    Instant m_startedAt;
    RequestTrace m_trace;
    RequestPlan m_plan;
    RequestStateMachine m_outcome;
    std::string m_message; //!< Message of the final response.
    double m_overload = 0.0; //!< Overload reported to RequestStateMachine; see RequestEventContext.

    Bytes m_body; //!< Buffered part of the request body.
    bool m_bodyComplete = false; //!< The whole request body has been read.

    std::string m_claimGroup;
    std::uint64_t m_seenPosition = 0;
    ClaimId m_claim;
    KeyDigest m_key;
    StoredAnswer m_storedAnswer;

    std::set<std::uint32_t> m_tried;
    ChosenTarget m_target;
    std::unique_ptr<ClientExchange> m_exchange;
    Instant m_sentAt {};
    std::optional<Instant> m_attemptStartedAt; //!< Start of the current attempt.
    Duration m_targetTime { 0 }; //!< Total duration of earlier attempts.
    std::uint64_t m_receivedBytes = 0; //!< Size of the response body so far.
    bool m_headReceived = false; //!< The head of the response has been received.
    std::shared_ptr<bool> m_callerDisconnected = std::make_shared<bool>(false);
};

} // namespace ggv
