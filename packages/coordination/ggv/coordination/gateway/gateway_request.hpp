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
    enum class AttemptEnd : std::uint8_t {
        Answered, //!< The answer is passed on whole, or was cut after its begin.
        NotConnected, //!< No byte was sent.
        NotExecuted, //!< The target states that it did not execute the request.
        Failed, //!< The target's answer is a failure that another target may mend.
        Lost, //!< It may have run; there is no whole answer.
        DeadlinePassed, //!< It may have run.
        CallerGone,
    };

    [[nodiscard]] Duration rulesPatience() const;
    [[nodiscard]] bool plan();
    [[nodiscard]] Duration timeLeft() const;
    [[nodiscard]] boost::asio::awaitable<bool> receiveBody();
    [[nodiscard]] boost::asio::awaitable<void> forward();
    [[nodiscard]] boost::asio::awaitable<AttemptEnd> attempt();
    [[nodiscard]] boost::asio::awaitable<AttemptEnd> exchange();
    [[nodiscard]] boost::asio::awaitable<AttemptEnd> readAnswer();
    [[nodiscard]] boost::asio::awaitable<AttemptEnd> passAnswer(HttpAnswerHead head);
    [[nodiscard]] boost::asio::awaitable<void> passKept();
    [[nodiscard]] bool mayTryAgain(AttemptEnd end);
    [[nodiscard]] boost::asio::awaitable<void> conclude(AttemptEnd end);
    [[nodiscard]] boost::asio::awaitable<void> refuse(std::uint16_t status, const char *reason);
    [[nodiscard]] const char *refusalReason() const;
    [[nodiscard]] HttpRequestHead forwardedHead() const;
    [[nodiscard]] AttemptEnd judgeHead(const HttpAnswerHead &head);
    [[nodiscard]] AttemptEnd failed(const Error &error);
    [[nodiscard]] AttemptEnd unreachable(const Error &error);
    void noteRetry(AttemptEnd end) const;
    void readLoad(const HttpAnswerHead &head);
    void endAttempt(std::optional<TargetOutcome> outcome, bool reusable);
    void callerGone();
    [[nodiscard]] boost::asio::awaitable<void> serve();
    void logAnswered(std::uint16_t status);
    [[nodiscard]] const char *successReason(Instant now) const;
    void logEnd(LogLevel level, const char *event, std::uint16_t status, std::string_view reason);
    void countEnd(const char *event, std::string_view reason);
    [[nodiscard]] bool idempotent() const;

    GatewayContext &m_context;
    ServerExchange &m_caller;
    Instant m_startedAt;
    Instant m_deadline {};
    std::shared_ptr<const RouteTable> m_routes;
    const Route *m_route = nullptr;
    std::string m_requestId;
    TargetDemand m_demand;
    Bytes m_body;
    TargetChoice m_choice;
    std::unique_ptr<ClientExchange> m_exchange;
    Instant m_sentAt {};
    std::uint32_t m_sends = 0; //!< Attempts in which a byte may have reached a target.
    std::uint32_t m_refusals = 0; //!< Sends that the target stated it did not execute.
    std::uint32_t m_connectFailures = 0;
    std::uint16_t m_passedStatus = 0; //!< Of an answer that is passed on as it comes.
    bool m_mayHaveRun = false;
    bool m_isEnded = false; //!< Its end was counted, and logged unless it was left out.
    std::shared_ptr<bool> m_callerGone = std::make_shared<bool>(false);
    std::optional<std::pair<HttpAnswerHead, Bytes>> m_kept; //!< Whole failure of a target.
};

} // namespace ggv
