#include <ggv/coordination/entry/entry_loop.hpp>

#include <algorithm>
#include <unordered_map>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ggv {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxIdlePerTarget = 4;
constexpr Duration IdleTimeout = std::chrono::seconds(30);
//! Polling interval of queued requests: other event loops do not signal when they free a slot.
constexpr auto QueueInterval = std::chrono::milliseconds(1);
constexpr Duration InitialServiceTime = std::chrono::milliseconds(50);

//! A queued request, suspended until its timer is cancelled.
struct Waiter
{
    explicit Waiter(asio::io_context &context)
        : timer(context)
    { }

    asio::steady_timer timer;
    ChosenTarget chosen;
    bool expired = false;
};

//! Request queue and retry budget of one service.
struct ServiceQueue
{
    WaitQueue queue;
    RetryBudget retries;
    std::shared_ptr<const EntryView> view; //!< Keeps the route alive while requests are queued.
    const ServiceRoute *route = nullptr;
    std::unordered_map<std::uint64_t, Waiter *> waiters;
};

Duration serviceTimeOf(const ServiceRoute &service)
{
    const Duration known(service.state->serviceTime.load(std::memory_order_relaxed));
    return known.count() > 0 ? known : InitialServiceTime;
}

bool isAvailable(const TargetRoute &route)
{
    return route.state->weight() > 0.0 && route.state->health() <= HealthState::Suspect;
}

// A target in another region is usable only while the shift cap and the link budget allow it.
bool isPathAvailable(const TargetRoute &route, Instant now)
{
    if (route.proximity != Proximity::OtherRegion)
        return true;
    return route.path && route.path->check(now) == ResultCode::Ok;
}

} // namespace

class EntryLoop::Implementation
{
public:
    Implementation(asio::io_context &context, std::uint64_t seed)
        : m_context(context)
        , m_pool(context, MaxIdlePerTarget, IdleTimeout)
        , m_random(seed)
        , m_timer(context)
    { }

    ServiceQueue &queueOf(const ServiceRoute &service) { return m_queues[service.service->name]; }

    AdmissionLoad loadOf(const ServiceRoute &service, bool hasFreeSlot) const
    {
        AdmissionLoad load;
        load.queued = service.state->queued.load(std::memory_order_relaxed);
        load.hasFreeSlot = hasFreeSlot;
        load.serviceTime = serviceTimeOf(service);
        const Instant now = monotonicNow();
        bool anyAvailable = false;
        for (const auto &route : service.targets) {
            anyAvailable = anyAvailable || isAvailable(route);
            load.slots += isAvailable(route) ? route.state->limit(now) : 0;
        }
        // Assumes at least one slot if a target is available: the next lease will provide it.
        load.slots = std::max<std::uint32_t>(load.slots, anyAvailable ? 1 : 0);
        return load;
    }

    ChosenTarget choose(const ServiceRoute &service, const std::set<std::uint32_t> &tried)
    {
        const Instant now = monotonicNow();
        m_candidates.clear();
        for (std::size_t n = 0; n < service.targets.size(); ++n) {
            const auto &route = service.targets[n];
            const auto &state = *route.state;
            const bool usable = !tried.contains(state.number()) && isPathAvailable(route, now);
            m_candidates.push_back({ static_cast<std::uint32_t>(n), route.proximity, state.health(),
                                     state.weight(), state.inFlight(),
                                     usable ? state.limit(now) : 0, route.roundTrip,
                                     state.serviceTime() });
        }
        ChoicePolicy policy;
        policy.ownRegionWait = expectedWait(loadOf(service, false));
        const TargetOrder order = chooseTarget(m_candidates, m_random, policy);
        for (const auto index : order.indices()) {
            const auto &route = service.targets[index];
            auto slot = route.state->tryAcquire(now);
            if (!slot || (route.path && !route.path->tryAcquire(now)))
                continue;
            return { &route, { route.state, std::move(slot) } };
        }
        service.state->hasUnmetDemand.store(true, std::memory_order_relaxed);
        recordCrossRegionDemand(service);
        return {};
    }

    // Counts a request that no target could accept as demand for the path to one usable target in
    // another region, chosen at random.
    void recordCrossRegionDemand(const ServiceRoute &service)
    {
        std::size_t seen = 0;
        const TargetRoute *chosen = nullptr;
        for (const auto &route : service.targets) {
            if (route.path && isAvailable(route) && m_random() % ++seen == 0)
                chosen = &route;
        }
        if (chosen != nullptr)
            chosen->path->recordDemand();
    }

    AdmissionRefusal refusalOf(const ServiceRoute &service, const AdmissionDecision &decision) const
    {
        AdmissionRefusal refusal { ResultCode::NoWorkingTarget, decision.retryAfter };
        const Instant now = monotonicNow();
        for (const auto &route : service.targets) {
            if (!isAvailable(route))
                continue;
            const auto pathStatus = route.path ? route.path->check(now) : ResultCode::Ok;
            refusal.code = pathStatus == ResultCode::Ok ? ResultCode::Overloaded : pathStatus;
            if (!route.path)
                break;
        }
        return refusal;
    }

    void scheduleDispatch()
    {
        if (std::exchange(m_dispatchScheduled, true))
            return;
        m_timer.expires_after(QueueInterval);
        m_timer.async_wait([this](boost::system::error_code ec) {
            if (ec)
                return;
            m_dispatchScheduled = false;
            dispatchQueuedRequests();
        });
    }

    void dispatchQueuedRequests()
    {
        bool waiting = false;
        for (auto &[name, queue] : m_queues) {
            if (queue.queue.empty())
                continue;
            dispatchQueue(queue);
            waiting = waiting || !queue.queue.empty();
        }
        if (waiting)
            scheduleDispatch();
    }

    void dispatchQueue(ServiceQueue &queue)
    {
        const Instant now = monotonicNow();
        while (const auto entry = queue.queue.popExpired(now))
            resume(queue, entry->request, {}, true);
        while (!queue.queue.empty()) {
            auto chosen = choose(*queue.route, {});
            if (chosen.route == nullptr)
                return;
            const auto entry = queue.queue.pop(now);
            if (!entry)
                return;
            resume(queue, entry->request, std::move(chosen), false);
        }
    }

    static void resume(ServiceQueue &queue, std::uint64_t request, ChosenTarget chosen,
                       bool expired)
    {
        const auto it = queue.waiters.find(request);
        if (it == queue.waiters.end())
            return;
        it->second->chosen = std::move(chosen);
        it->second->expired = expired;
        it->second->timer.cancel();
    }

    // Queues the request and suspends until the waiter gets a target or expires.
    asio::awaitable<void> waitInQueue(ServiceQueue &queue, const ServiceRoute &service,
                                      Waiter &waiter, Instant expiresAt,
                                      std::shared_ptr<bool> cancelled)
    {
        const std::uint64_t id = ++m_lastWaiterId;
        if (!queue.queue.push({ id, monotonicNow(), expiresAt })) {
            waiter.expired = true;
            co_return;
        }
        queue.waiters.emplace(id, &waiter);
        service.state->queued.fetch_add(1, std::memory_order_relaxed);
        scheduleDispatch();
        waiter.timer.expires_at(std::chrono::steady_clock::time_point::max());
        boost::system::error_code ec;
        co_await waiter.timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        service.state->queued.fetch_sub(1, std::memory_order_relaxed);
        queue.waiters.erase(id);
        if (*cancelled)
            waiter.chosen = {};
    }

    asio::io_context &m_context;
    HttpClientPool m_pool;
    RandomSource m_random;
    asio::steady_timer m_timer;
    std::map<ServiceName, ServiceQueue> m_queues;
    std::vector<TargetCandidate> m_candidates;
    std::uint64_t m_lastWaiterId = 0;
    bool m_dispatchScheduled = false;
};

EntryLoop::EntryLoop(asio::io_context &context, std::uint64_t seed)
    : m_implementation(std::make_unique<Implementation>(context, seed))
{ }

EntryLoop::~EntryLoop() = default;

HttpClientPool &EntryLoop::pool() noexcept { return m_implementation->m_pool; }

RandomSource &EntryLoop::random() noexcept { return m_implementation->m_random; }

asio::io_context &EntryLoop::context() noexcept { return m_implementation->m_context; }

void EntryLoop::onRequest(const ServiceRoute &service)
{
    service.state->arrivals.fetch_add(1, std::memory_order_relaxed);
    m_implementation->queueOf(service).retries.onRequest(monotonicNow());
}

bool EntryLoop::tryRetry(const ServiceRoute &service)
{
    return m_implementation->queueOf(service).retries.tryRetry(monotonicNow());
}

asio::awaitable<ChosenTarget>
EntryLoop::admit(std::shared_ptr<const EntryView> view, const ServiceRoute &service,
                 const std::set<std::uint32_t> &tried, Instant deadline,
                 const std::shared_ptr<bool> &cancelled, AdmissionRefusal &refusal)
{
    auto &loop = *m_implementation;
    auto &queue = loop.queueOf(service);
    if (queue.queue.empty()) {
        auto chosen = loop.choose(service, tried);
        if (chosen.route != nullptr)
            co_return chosen;
    }
    const Instant now = monotonicNow();
    const auto decision = decideAdmission(loop.loadOf(service, false), deadline - now);
    if (decision.action == AdmissionAction::Shed) {
        refusal = loop.refusalOf(service, decision);
        co_return ChosenTarget {};
    }
    queue.view = std::move(view);
    queue.route = &service;
    Waiter waiter(loop.m_context);
    co_await loop.waitInQueue(queue, service, waiter, now + decision.queueTimeout, cancelled);
    if (waiter.chosen.route == nullptr) {
        const bool deadlinePassed = monotonicNow() >= deadline;
        refusal = loop.refusalOf(service, decision);
        if (deadlinePassed)
            refusal.code = ResultCode::DeadlineExceededInQueue;
    }
    co_return std::move(waiter.chosen);
}

void EntryLoop::dispatchQueuedRequests() { m_implementation->dispatchQueuedRequests(); }

bool EntryLoop::hasOtherTarget(const ServiceRoute &service,
                               const std::set<std::uint32_t> &tried) const
{
    return std::any_of(service.targets.begin(), service.targets.end(),
                       [&tried](const TargetRoute &route) {
                           return isAvailable(route) && !tried.contains(route.state->number());
                       });
}

} // namespace ggv
