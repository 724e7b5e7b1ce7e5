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
 * @brief Does the input and output of one forwarded request; RequestStateMachine decides.
 */
class RequestDriver : public std::enable_shared_from_this<RequestDriver>
{
public:
    /**
     * @brief Prepares a request whose head has arrived.
     * @param context Shared by all requests; outlives them.
     * @param loop Loop of the caller's connection.
     * @param view The register in force.
     * @param caller The request; used until run() returns.
     */
    RequestDriver(EntryContext &context, EntryLoop &loop, std::shared_ptr<const EntryView> view,
                  ServerExchange &caller);

    //! Serves the request; exactly one final answer or cut has been given when it returns.
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

    void watchCaller();
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
    std::string m_message; //!< For the final answer.
    double m_overload = 0.0; //!< See RequestEventContext.

    Bytes m_body; //!< What is buffered of the request's body.
    bool m_bodyComplete = false; //!< Nothing of the body is left to read.

    std::string m_claimGroup;
    std::uint64_t m_seenPosition = 0;
    ClaimId m_claim;
    KeyDigest m_key;
    StoredAnswer m_storedAnswer;

    std::set<std::uint32_t> m_tried;
    ChosenTarget m_target;
    std::unique_ptr<ClientExchange> m_exchange;
    Instant m_sentAt {};
    std::optional<Instant> m_attemptStartedAt; //!< Begin of the current attempt at a target.
    Duration m_targetTime { 0 }; //!< Of earlier attempts at targets.
    std::uint64_t m_receivedBytes = 0; //!< Of the answer's body.
    bool m_headReceived = false; //!< The target's answer has begun.
    std::shared_ptr<bool> m_callerDisconnected = std::make_shared<bool>(false);
};

} // namespace ggv
