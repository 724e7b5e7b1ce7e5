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
//! Other loops do not tell when they free a slot, so waiting requests look again after this long.
constexpr auto QueueInterval = std::chrono::milliseconds(1);
constexpr Duration InitialServiceTime = std::chrono::milliseconds(50);

//! A request in a queue.
struct Waiter
{
    explicit Waiter(asio::io_context &context)
        : timer(context)
    { }

    asio::steady_timer timer;
    ChosenTarget chosen;
    bool expired = false;
};

//! Queue and retry budget of one service.
struct ServiceQueue
{
    WaitQueue queue;
    RetryBudget retries;
    std::shared_ptr<const EntryView> view; //!< Keeps the route alive while requests wait.
    const ServiceRoute *route = nullptr;
    std::unordered_map<std::uint64_t, Waiter *> waiters;
};

Duration serviceTimeOf(const ServiceRoute &service)
{
    const Duration known(service.state->serviceTime.load(std::memory_order_relaxed));
    return known.count() > 0 ? known : InitialServiceTime;
}

bool mayServe(const TargetRoute &route)
{
    return route.state->weight() > 0.0 && route.state->health() <= HealthState::Suspect;
}

// A target in another region is in reach only while the rates on the way there allow it.
bool isWayOpen(const TargetRoute &route, Instant now)
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
        bool works = false;
        for (const auto &route : service.targets) {
            works = works || mayServe(route);
            load.slots += mayServe(route) ? route.state->limit(now) : 0;
        }
        // Slots that are not leased yet can be had soon.
        load.slots = std::max<std::uint32_t>(load.slots, works ? 1 : 0);
        return load;
    }

    ChosenTarget choose(const ServiceRoute &service, const std::set<std::uint32_t> &tried)
    {
        const Instant now = monotonicNow();
        m_candidates.clear();
        for (std::size_t n = 0; n < service.targets.size(); ++n) {
            const auto &route = service.targets[n];
            const auto &state = *route.state;
            const bool usable = !tried.contains(state.number()) && isWayOpen(route, now);
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
        noteFarDemand(service);
        return {};
    }

    // Work that no near target can take is demand for the way to another region.
    void noteFarDemand(const ServiceRoute &service)
    {
        std::size_t seen = 0;
        const TargetRoute *chosen = nullptr;
        for (const auto &route : service.targets) {
            if (route.path && mayServe(route) && m_random() % ++seen == 0)
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
            if (!mayServe(route))
                continue;
            const auto way = route.path ? route.path->check(now) : ResultCode::Ok;
            refusal.code = way == ResultCode::Ok ? ResultCode::Overloaded : way;
            if (!route.path)
                break;
        }
        return refusal;
    }

    void arm()
    {
        if (std::exchange(m_armed, true))
            return;
        m_timer.expires_after(QueueInterval);
        m_timer.async_wait([this](boost::system::error_code ec) {
            if (ec)
                return;
            m_armed = false;
            dispatchQueuedRequests();
        });
    }

    void dispatchQueuedRequests()
    {
        bool waiting = false;
        for (auto &[name, queue] : m_queues) {
            if (queue.queue.empty())
                continue;
            serve(queue);
            waiting = waiting || !queue.queue.empty();
        }
        if (waiting)
            arm();
    }

    void serve(ServiceQueue &queue)
    {
        const Instant now = monotonicNow();
        while (const auto entry = queue.queue.popExpired(now))
            wake(queue, entry->request, {}, true);
        while (!queue.queue.empty()) {
            auto chosen = choose(*queue.route, {});
            if (chosen.route == nullptr)
                return;
            const auto entry = queue.queue.pop(now);
            if (!entry)
                return;
            wake(queue, entry->request, std::move(chosen), false);
        }
    }

    static void wake(ServiceQueue &queue, std::uint64_t request, ChosenTarget chosen, bool expired)
    {
        const auto it = queue.waiters.find(request);
        if (it == queue.waiters.end())
            return;
        it->second->chosen = std::move(chosen);
        it->second->expired = expired;
        it->second->timer.cancel();
    }

    // Waits in the queue; the waiter is woken with a target or as expired.
    asio::awaitable<void> wait(ServiceQueue &queue, const ServiceRoute &service, Waiter &waiter,
                               Instant expiresAt, std::shared_ptr<bool> cancelled)
    {
        const std::uint64_t id = ++m_lastWaiter;
        if (!queue.queue.push({ id, monotonicNow(), expiresAt })) {
            waiter.expired = true;
            co_return;
        }
        queue.waiters.emplace(id, &waiter);
        service.state->queued.fetch_add(1, std::memory_order_relaxed);
        arm();
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
    std::uint64_t m_lastWaiter = 0;
    bool m_armed = false;
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
    co_await loop.wait(queue, service, waiter, now + decision.queueTimeout, cancelled);
    if (waiter.chosen.route == nullptr) {
        const bool late = monotonicNow() >= deadline;
        refusal = loop.refusalOf(service, decision);
        if (late)
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
                           return mayServe(route) && !tried.contains(route.state->number());
                       });
}

} // namespace ggv
