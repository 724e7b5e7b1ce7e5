#include <ggv/coordination/gateway/target_path_prober.hpp>

#include <ggv/state/log/event_log.hpp>

#include <algorithm>
#include <optional>
#include <set>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ggv {

namespace asio = boost::asio;

namespace {

constexpr Duration ProbeTimeout = std::chrono::milliseconds(400);
//! Targets that are probed at a time while the path is lost.
constexpr std::size_t MaxProbesWhenLost = 3;

void logChange(const TargetPathChange &change)
{
    const bool isOpen = change.state == TargetPathState::Open;
    logEvent(isOpen ? LogLevel::Info : LogLevel::Warning,
             "target-path-" + std::string(targetPathStateName(change.state)),
             { { "before", targetPathStateName(change.before) },
               { "failed_targets", change.failedTargets },
               { "failed_domains", change.failedDomains },
               { "lasted_ms", change.lasted.count() / 1000 } });
}

void logFailure(const ListedTarget &target, const Error &failure)
{
    logEvent(LogLevel::Info, "target-probe-failed",
             { { "target", target.instance },
               { "domain", target.domain.text() },
               { "reason", failure.what() } });
}

} // namespace

std::vector<PooledTargetRef> chooseProbes(std::vector<PooledTargetRef> targets,
                                          TargetPathState state, RandomSource &random)
{
    if (state == TargetPathState::Open)
        return {};
    std::erase_if(targets, [](const auto &it) { return it->listing().leaving; });
    std::shuffle(targets.begin(), targets.end(), random);
    if (state == TargetPathState::Lost) {
        targets.resize(std::min(targets.size(), MaxProbesWhenLost));
        return targets;
    }
    std::set<FailureDomainName> domains;
    std::erase_if(targets,
                  [&](const auto &it) { return !domains.insert(it->listing().domain).second; });
    return targets;
}

//! Connections that are opened at the same time; one established connection decides the round.
struct TargetPathProber::Round
{
    asio::steady_timer decided; //!< Cancelled when the round is decided.
    std::size_t pending = 0;
    bool isEstablished = false;

    [[nodiscard]] bool isDecided() const noexcept { return isEstablished || pending == 0; }
};

TargetPathProber::TargetPathProber(asio::io_context &loop, GatewayContext &context,
                                   PathChangeHandler onPathChanged)
    : m_loop(loop)
    , m_context(context)
    , m_onPathChanged(std::move(onPathChanged))
    , m_timer(loop)
{ }

std::shared_ptr<TargetPathProber> TargetPathProber::start(asio::io_context &loop,
                                                          GatewayContext &context,
                                                          PathChangeHandler onPathChanged)
{
    std::shared_ptr<TargetPathProber> self(
        new TargetPathProber(loop, context, std::move(onPathChanged)));
    context.onTargetPathChange = [weak = self->weak_from_this()](const TargetPathChange &change) {
        if (const auto prober = weak.lock())
            prober->onChange(change);
    };
    return self;
}

void TargetPathProber::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void TargetPathProber::onChange(const TargetPathChange &change)
{
    if (m_isStopped)
        return;
    logChange(change);
    const bool wasLost = change.before == TargetPathState::Lost;
    const bool isLost = change.state == TargetPathState::Lost;
    if (wasLost != isLost)
        m_onPathChanged(!isLost);
    if (m_isRunning || change.state == TargetPathState::Open)
        return;
    m_isRunning = true;
    asio::co_spawn(m_loop, run(shared_from_this()), asio::detached);
}

bool TargetPathProber::isNeeded() const { return !m_isStopped && !m_context.targetPath().isOpen(); }

asio::awaitable<void> TargetPathProber::run(std::shared_ptr<TargetPathProber> self)
{
    while (self->isNeeded()) {
        co_await self->waitUntilDue();
        if (!self->isNeeded())
            break;
        const bool isEstablished = co_await self->probeOnce();
        if (!self->m_isStopped)
            self->m_context.observeTargetProbes(isEstablished);
    }
    self->m_isRunning = false;
}

asio::awaitable<void> TargetPathProber::waitUntilDue()
{
    if (m_context.targetPath().isProbeDue(monotonicNow()))
        co_return;
    m_timer.expires_after(m_context.targetPath().probeDueAt() - monotonicNow());
    boost::system::error_code stopped;
    co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, stopped));
}

asio::awaitable<bool> TargetPathProber::probeOnce()
{
    const auto targets = chooseProbes(m_context.targets().targets(), m_context.targetPath().state(),
                                      m_context.random());
    if (targets.empty())
        co_return true; // Nothing to judge the path by.
    const auto round = std::make_shared<Round>(Round {
        asio::steady_timer(m_loop, asio::steady_timer::time_point::max()), targets.size() });
    for (const auto &it : targets)
        asio::co_spawn(m_loop, connect(shared_from_this(), round, it), asio::detached);
    while (!round->isDecided()) {
        boost::system::error_code decided;
        co_await round->decided.async_wait(asio::redirect_error(asio::use_awaitable, decided));
    }
    co_return round->isEstablished;
}

asio::awaitable<void> TargetPathProber::connect(std::shared_ptr<TargetPathProber> self,
                                                std::shared_ptr<Round> round,
                                                PooledTargetRef target)
{
    std::optional<Error> failure;
    std::unique_ptr<ClientExchange> connection;
    try {
        auto &connections = self->m_context.connections();
        const Endpoint endpoint = target->listing().endpoint;
        const Instant connectBy = monotonicNow() + ProbeTimeout;
        connection = co_await connections.open(endpoint, true, connectBy);
    } catch (const Error &error) {
        failure = error;
    }
    if (failure)
        logFailure(target->listing(), *failure);
    else
        round->isEstablished = true;
    --round->pending;
    if (round->isDecided())
        round->decided.cancel();
}

} // namespace ggv
