#include <ggv/coordination/gateway/departure_verifier.hpp>

#include <ggv/coordination/gateway/discard_body.hpp>
#include <ggv/coordination/gateway/header_values.hpp>
#include <ggv/state/log/event_log.hpp>

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace ggv {

namespace asio = boost::asio;

namespace {

constexpr Duration AnswerTimeout = std::chrono::milliseconds(900);
//! Targets that are asked in one interval.
constexpr std::size_t MaxQuestions = 8;
constexpr std::uint16_t StatusOk = 200;

Duration drawDelay(RandomSource &random)
{
    const auto bound = static_cast<std::uint64_t>(DepartureVerifier::MaxFirstDelay.count());
    return Duration(static_cast<Duration::rep>(random() % bound));
}

void logAnswer(const ListedTarget &target, std::uint16_t status, const std::string &instance)
{
    logEvent(LogLevel::Info, "departure-checked",
             { { "target", target.instance },
               { "address", target.endpoint.address },
               { "status", status },
               { "answered_by", instance } });
}

void logFailure(const ListedTarget &target, const Error &failure)
{
    logEvent(LogLevel::Info, "departure-check-failed",
             { { "target", target.instance },
               { "address", target.endpoint.address },
               { "reason", failure.what() } });
}

} // namespace

std::shared_ptr<DepartureVerifier> DepartureVerifier::start(asio::io_context &loop,
                                                            GatewayContext &context)
{
    std::shared_ptr<DepartureVerifier> self(new DepartureVerifier(loop, context));
    self->check();
    return self;
}

DepartureVerifier::DepartureVerifier(asio::io_context &loop, GatewayContext &context)
    : m_loop(loop)
    , m_context(context)
    , m_timer(loop)
{ }

void DepartureVerifier::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void DepartureVerifier::check()
{
    if (m_isStopped)
        return;
    askDueTargets(monotonicNow());
    m_timer.expires_after(CheckInterval);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        const auto self = weak.lock();
        if (self && !ec)
            self->check();
    });
}

void DepartureVerifier::askDueTargets(Instant now)
{
    std::map<std::string, Instant> dueAt;
    std::size_t questions = 0;
    for (const auto &it : m_context.targets().doubtfulDepartures(now)) {
        const std::string &instance = it->listing().instance;
        const auto known = m_dueAt.find(instance);
        Instant due = known == m_dueAt.end() ? now + drawDelay(m_context.random()) : known->second;
        const std::string path = m_context.targets().policyOf(it->listing().service).healthPath;
        if (now >= due && !path.empty() && questions < MaxQuestions) {
            ++questions;
            due = now + RetryInterval;
            asio::co_spawn(m_loop, ask(shared_from_this(), it, path), asio::detached);
        }
        dueAt[instance] = due;
    }
    m_dueAt = std::move(dueAt);
}

asio::awaitable<void> DepartureVerifier::ask(std::shared_ptr<DepartureVerifier> self,
                                             PooledTargetRef target, std::string path)
{
    const Instant sentAt = monotonicNow();
    const ListedTarget listing = target->listing();
    std::optional<Error> failure;
    HealthAnswer answer;
    try {
        answer = co_await self->fetch(listing, std::move(path));
    } catch (const Error &error) {
        failure = error;
    }
    if (failure) {
        logFailure(listing, *failure);
        co_return;
    }
    logAnswer(listing, answer.status, answer.instance);
    const bool isOther = !answer.instance.empty() && answer.instance != listing.instance;
    if (!self->m_isStopped && answer.status == StatusOk && !isOther)
        self->m_context.targets().observeNotLeaving(*target, sentAt, answer.coldDuration,
                                                    monotonicNow());
}

asio::awaitable<DepartureVerifier::HealthAnswer>
DepartureVerifier::fetch(const ListedTarget &target, std::string path)
{
    const Instant deadline = monotonicNow() + AnswerTimeout;
    const auto &names = m_context.headers();
    auto exchange = co_await m_context.connections().open(target.endpoint, true, deadline);
    HttpRequestHead request;
    request.method = "GET";
    request.target = std::move(path);
    request.headers.push_back(HttpHeader { "Host", target.endpoint.address });
    request.headers.push_back(HttpHeader { names.targetInstance, target.instance });
    co_await exchange->sendHead(request, deadline);
    const HttpAnswerHead head = co_await exchange->readHead(deadline);
    const auto unreadBody = co_await discardBody(*exchange, head, deadline);
    if (!unreadBody && !m_isStopped)
        m_context.connections().release(std::move(exchange));
    HealthAnswer answer;
    answer.status = head.status;
    if (const auto *instance = findHeader(head.headers, names.answeringInstance))
        answer.instance = *instance;
    const auto *cold = findHeader(head.headers, names.coldTime);
    const auto millis = cold == nullptr ? std::nullopt : parseInteger(*cold);
    if (millis && *millis > 0)
        answer.coldDuration = std::chrono::milliseconds(*millis);
    co_return answer;
}

} // namespace ggv
