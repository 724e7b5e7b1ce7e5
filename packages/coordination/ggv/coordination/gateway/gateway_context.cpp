#include <ggv/coordination/gateway/gateway_context.hpp>

#include <ggv/state/log/event_log.hpp>
#include <ggv/transport/net/shared_secret.hpp>

#include <algorithm>
#include <set>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ggv {

namespace {

constexpr std::size_t MaxIdlePerTarget = 24;
//! Shorter than the idle time after which targets usually close connections.
constexpr Duration TargetIdleTimeout = std::chrono::seconds(7);
//! Fraction of the budget that is used, because a sliding window may span more than one refill.
constexpr double UsableBudgetFraction = 0.9;

} // namespace

GatewayContext::GatewayContext(boost::asio::io_context &loop, Topology topology,
                               ForwardingHeaders headers, const RetryPolicy &retryPolicy,
                               std::uint64_t bodyMemory)
    : m_headers(std::move(headers))
    , m_retryPolicy(retryPolicy)
    , m_targets(std::move(topology))
    , m_connections(loop, MaxIdlePerTarget, TargetIdleTimeout)
    , m_targetEnds(TargetEndDetector::create(loop, m_connections))
    , m_bodyMemory(bodyMemory)
    , m_random(randomNumber())
    , m_loop(loop)
{
    m_targetEnds->setHandler([this](const TargetEnd &end) { onTargetEnded(end); });
}

GatewayContext::~GatewayContext() { m_targetEnds->stop(); }

bool GatewayContext::hasRoutesAndTargets() const { return m_routes && m_targets.hasList(); }

bool GatewayContext::areRoutesNewest() const
{
    return m_routes && m_routes->version() >= m_newestVersion && stateAge() <= MaxConfirmationAge;
}

boost::asio::awaitable<void> GatewayContext::waitForRoutes(Instant until)
{
    Condition condition = [this] { return hasRoutesAndTargets(); };
    co_await waitFor(std::move(condition), until);
}

boost::asio::awaitable<void>
GatewayContext::waitForNewerRoutes(std::shared_ptr<const RouteTable> known, Instant until)
{
    Condition condition = [this, known] { return m_routes != known || areRoutesNewest(); };
    co_await waitFor(std::move(condition), until);
}

boost::asio::awaitable<void> GatewayContext::waitFor(Condition condition, Instant until)
{
    if (condition() || monotonicNow() >= until)
        co_return;
    // Shared: if the timer expires just before the condition holds, this coroutine resumes after
    // resumeWaitingRequests() has removed the request from the list.
    const auto waiting = std::make_shared<WaitingRequest>(
        WaitingRequest { std::move(condition), boost::asio::steady_timer(m_loop) });
    waiting->timer.expires_after(until - monotonicNow());
    m_waitingRequests.push_back(waiting);
    boost::system::error_code cancelledByUpdate;
    co_await waiting->timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, cancelledByUpdate));
    m_waitingRequests.remove(waiting);
}

void GatewayContext::resumeWaitingRequests()
{
    std::erase_if(m_waitingRequests, [](const std::shared_ptr<WaitingRequest> &it) {
        const bool resumes = it->condition();
        if (resumes)
            it->timer.cancel();
        return resumes;
    });
}

void GatewayContext::setNewestVersion(std::uint64_t version)
{
    m_newestVersion = std::max(m_newestVersion, version);
    resumeWaitingRequests();
}

void GatewayContext::setTargets(const TargetList &list, Duration age)
{
    m_targets.update(list, age, monotonicNow());
    std::set<FailureDomainName> domains;
    for (const auto &it : list.targets)
        domains.insert(it.domain);
    updateTargetPath([&](Instant) { m_targetPath.setDomains(domains.size()); });
    resumeWaitingRequests();
}

void GatewayContext::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    m_routes = std::move(routes);
    m_targets.setRules(m_routes->rules());
    resumeWaitingRequests();
}

void GatewayContext::setEntryHosts(std::size_t count)
{
    m_targets.setEntryHosts(count);
    if (count == m_entryHosts)
        return;
    m_entryHosts = std::max<std::size_t>(count, 1);
    for (auto &[service, budget] : m_budgets)
        budget.setPolicy(budgetPolicy());
}

RetryBudgetPolicy GatewayContext::budgetPolicy() const
{
    const double slack
        = m_retryPolicy.slack * UsableBudgetFraction / static_cast<double>(m_entryHosts);
    const auto window = std::chrono::duration<double>(m_retryPolicy.window).count();
    RetryBudgetPolicy policy;
    policy.ratio = m_retryPolicy.ratio * UsableBudgetFraction;
    // Half of the slack is available as a burst, the other half is refilled over a window.
    policy.burst = std::max(1.0, slack / 2);
    policy.floorPerSecond = slack / 2 / window;
    return policy;
}

RetryBudget &GatewayContext::budget(const ServiceName &service)
{
    const auto it = m_budgets.find(service);
    if (it != m_budgets.end())
        return it->second;
    return m_budgets.emplace(service, RetryBudget(budgetPolicy())).first->second;
}

template <typename Observation>
void GatewayContext::updateTargetPath(Observation observe)
{
    const Instant now = monotonicNow();
    const TargetPathState before = m_targetPath.state();
    const std::size_t failedTargets = m_targetPath.failedTargets();
    const std::size_t failedDomains
        = before == TargetPathState::Open ? 0 : m_targetPath.failedDomains();
    observe(now);
    const TargetPathState state = m_targetPath.state();
    if (state == before)
        return;
    TargetPathChange change;
    change.before = before;
    change.state = state;
    change.failedTargets = std::max(failedTargets, m_targetPath.failedTargets());
    change.failedDomains = std::max(failedDomains, m_targetPath.failedDomains());
    change.lasted = now - std::exchange(m_targetPathChangedAt, now);
    if (before == TargetPathState::Lost)
        onTargetPathRestored(now);
    onTargetPathChange(change);
}

void GatewayContext::observeUnreachable(const PooledTarget &target, PathFailure kind,
                                        Instant attemptedAt)
{
    if (attemptedAt < m_targetPathRestoredAt)
        return;
    const auto &listing = target.listing();
    updateTargetPath([&](Instant now) {
        m_targetPath.observeFailure(listing.instance, listing.domain, kind, now);
    });
}

void GatewayContext::observeLostRequest(const PooledTarget &target, RequestFingerprint request)
{
    m_targetEnds->observeLoss(target.listing(), request);
}

void GatewayContext::onTargetEnded(const TargetEnd &end)
{
    m_quarantine.observeCrash(end.target.instance, end.requests, end.firstLossAt, monotonicNow());
    std::string requests;
    for (const auto &it : end.requests)
        requests += (requests.empty() ? "" : " ") + it.text();
    logEvent(LogLevel::Warning, "target-ended",
             { { "target", end.target.instance },
               { "service", end.target.service.text() },
               { "lost_requests", end.requests.size() },
               { "fingerprints", requests } });
}

void GatewayContext::observeTargetAnswer()
{
    if (m_targetPath.failedTargets() > 0)
        updateTargetPath([this](Instant now) { m_targetPath.observeAnswer(now); });
}

void GatewayContext::setForwardingPeers(std::vector<ForwardingPeer> peers)
{
    // Others reach the targets, so that this host's failures were not theirs.
    if (m_targetPath.isLost() && m_forwardingPeers.isEmpty() && !peers.empty())
        m_targets.forgetFailures(m_targetPath.evidenceSince());
    m_forwardingPeers.update(std::move(peers));
}

bool GatewayContext::isCutOff() const noexcept
{
    return m_targetPath.isLost() && !m_forwardingPeers.isEmpty();
}

void GatewayContext::observeTargetConnection()
{
    updateTargetPath([this](Instant now) { m_targetPath.observeConnection(now); });
}

void GatewayContext::observeTargetProbes(bool anyEstablished)
{
    updateTargetPath([&](Instant now) { m_targetPath.observeProbes(anyEstablished, now); });
}

bool GatewayContext::isTargetAtFault(Instant attemptedAt) const noexcept
{
    const bool othersReachNone = m_targetPath.isLost() && m_forwardingPeers.isEmpty();
    return (m_targetPath.isOpen() || othersReachNone) && attemptedAt >= m_targetPathRestoredAt;
}

void GatewayContext::onTargetPathRestored(Instant now)
{
    m_targetPathRestoredAt = now;
    // Targets may have closed idle connections without this host learning of it.
    for (const auto &it : m_targets.targets())
        m_connections.closeIdleConnections(it->listing().endpoint);
}

void GatewayContext::onRequest(const ServiceName &service, Instant now)
{
    budget(service).onRequest(now);
}

bool GatewayContext::tryRetry(const ServiceName &service, Instant now)
{
    const bool allowed = budget(service).tryRetry(now);
    m_metrics.recordRetry(allowed);
    return allowed;
}

} // namespace ggv
