#pragma once

#include <ggv/coordination/gateway/gateway_context.hpp>
#include <ggv/state/log/event_log.hpp>
#include <ggv/transport/http/http_server.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>

namespace ggv {

/**
 * @brief Serves one request by the rules in force: route, target, forwarding, retries, answer.
 *
 * A request that is not idempotent is sent again only if no byte of it was sent, or its target
 * stated that it did not execute it. Statuses 503 and 429 of this system mean "not run".
 */
class GatewayRequest : public std::enable_shared_from_this<GatewayRequest>
{
public:
    //! @param context Shared by all requests; outlives them. @param caller The request.
    GatewayRequest(GatewayContext &context, ServerExchange &caller);

    //! Serves the request; exactly one answer or cut has been given when it returns.
    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    //! How one attempt at a target ended.
    enum class AttemptResult : std::uint8_t {
        Answered, //!< The answer is passed on whole, or was cut after its begin.
        NotConnected, //!< No byte was sent.
        NotExecuted, //!< The target states that it did not execute the request.
        Failed, //!< The target's answer is a failure that another target may mend.
        Lost, //!< It may have run; there is no whole answer.
        DeadlinePassed, //!< It may have run.
        CallerDisconnected,
    };

    [[nodiscard]] Duration maxRoutesWait() const;
    [[nodiscard]] bool plan();
    [[nodiscard]] Duration remainingTime() const;
    [[nodiscard]] boost::asio::awaitable<bool> receiveBody();
    [[nodiscard]] boost::asio::awaitable<void> forward();
    [[nodiscard]] boost::asio::awaitable<AttemptResult> attempt();
    [[nodiscard]] boost::asio::awaitable<AttemptResult> exchange();
    [[nodiscard]] boost::asio::awaitable<AttemptResult> readAnswer();
    [[nodiscard]] boost::asio::awaitable<AttemptResult> forwardAnswer(HttpAnswerHead head);
    [[nodiscard]] boost::asio::awaitable<void> sendBufferedAnswer();
    [[nodiscard]] bool shouldRetry(AttemptResult end);
    [[nodiscard]] boost::asio::awaitable<void> conclude(AttemptResult end);
    [[nodiscard]] boost::asio::awaitable<void> refuse(std::uint16_t status, const char *reason);
    [[nodiscard]] const char *rejectionReason() const;
    [[nodiscard]] HttpRequestHead forwardedHead() const;
    [[nodiscard]] AttemptResult classifyAnswer(const HttpAnswerHead &head);
    [[nodiscard]] AttemptResult failed(const Error &error);
    [[nodiscard]] AttemptResult unreachable(const Error &error);
    void logRetry(AttemptResult end) const;
    void recordReportedLoad(const HttpAnswerHead &head);
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
    Instant m_startedAt;
    Instant m_deadline {};
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    std::string m_requestId;
    TargetQuery m_query;
    Bytes m_body;
    TargetChoice m_choice;
    std::unique_ptr<ClientExchange> m_exchange;
    Instant m_sentAt {};
    std::uint32_t m_sendCount = 0; //!< Attempts in which a byte may have reached a target.
    std::uint32_t m_notExecutedCount = 0; //!< Sends that the target stated it did not execute.
    std::uint32_t m_connectFailures = 0;
    std::uint16_t m_forwardedStatus = 0; //!< Of an answer that is passed on as it comes.
    bool m_mayHaveExecuted = false;
    bool m_isCompleted = false; //!< Its end was counted, and logged unless it was left out.
    std::shared_ptr<bool> m_callerDisconnected = std::make_shared<bool>(false);
    std::optional<std::pair<HttpAnswerHead, Bytes>>
        m_bufferedAnswer; //!< Whole failure of a target.
};

} // namespace ggv
