#include <ggv/state/budget/budget_holder.hpp>

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <utility>

namespace ggv {

namespace {

//! Percentage of a fixed share that is retained above the current demand, so that a rise in demand
//! needs no grant.
constexpr BudgetUnits ReservePercent = 25;
constexpr BudgetUnits HundredPercent = 100;
constexpr RegisterVersion UnconfirmedVersion = 0;

//! Promised upper bound of the usage of a fixed share.
struct UsageCap
{
    BudgetUnits units = 0;
    std::uint64_t sequence = 0; // Sequence of the request; 0 for the cap set at process start.
    Instant end;
};

struct BudgetState
{
    BudgetUnits registered = 0; // Fixed share in the register version in force.
    BudgetUnits fixed = 0; // Part of `registered` that no share of another version can overlap.
    BudgetUnits pool = 0;
    BudgetUnits borrowed = 0;
    std::vector<UsageCap> caps;

    BudgetUnits fixedAt(Instant now) const noexcept
    {
        BudgetUnits units = fixed;
        for (const UsageCap &cap : caps) {
            if (cap.end > now)
                units = std::min(units, cap.units);
        }
        return units;
    }

    void addCap(const UsageCap &added)
    {
        std::erase_if(caps, [&](const UsageCap &cap) {
            return cap.units >= added.units && cap.end <= added.end;
        });
        caps.push_back(added);
    }

    void raiseCaps(BudgetUnits units, std::uint64_t sequence) noexcept
    {
        for (UsageCap &cap : caps) {
            if (cap.sequence <= sequence)
                cap.units = std::max(cap.units, units);
        }
    }
};

struct SentRequest
{
    std::uint64_t sequence = 0;
    Instant at;
};

} // namespace

class BudgetHolder::Implementation
{
public:
    explicit Implementation(BudgetHolderSettings settings)
        : m_settings(std::move(settings))
        , m_version(m_settings.registerVersion)
    {
        for (const BudgetShare &share : m_settings.fixed) {
            BudgetState &state = stateOf(share.key);
            state.registered = share.units;
            state.fixed = share.units;
        }
    }

    void applyRegister(RegisterVersion version, const std::vector<BudgetShare> &fixed)
    {
        if (version < m_version)
            return;
        m_version = version;
        for (auto &[key, state] : m_states)
            state.registered = 0;
        for (const BudgetShare &share : fixed)
            stateOf(share.key).registered = share.units;
        for (auto &[key, state] : m_states)
            state.fixed = std::min(state.fixed, state.registered);
    }

    LeaseRequest request(const std::vector<BudgetDemand> &demands, Instant now)
    {
        removeExpired(now);
        LeaseRequest leaseRequest;
        leaseRequest.holder = m_settings.host;
        leaseRequest.sequence = ++m_sequence;
        leaseRequest.process = m_settings.process;
        // Requests of an earlier process may still use a larger share of an older version.
        leaseRequest.registerVersion = previousProcessDrained(now) ? m_version : UnconfirmedVersion;
        leaseRequest.lastGrant = m_lastGrant;
        std::map<BudgetKey, BudgetDemand> byKey;
        for (const BudgetDemand &demand : demands)
            byKey[demand.key] = demand;
        for (auto &[key, state] : m_states)
            byKey.try_emplace(key, BudgetDemand { key, 0, 0 });
        for (const auto &[key, demand] : byKey)
            addDemand(leaseRequest, demand, now);
        m_sent.push_back({ m_sequence, now });
        return leaseRequest;
    }

    bool accept(const LeaseGrant &grant, Instant now)
    {
        if (!isCurrent(grant))
            return false;
        const Instant *sentAt = sentAtOf(grant.sequence);
        if (sentAt == nullptr)
            return false;
        const Instant end = *sentAt + std::min(grant.lifetime, m_settings.timing.lifetime);
        if (now >= end)
            return false;
        applyLeases(grant, now);
        applyFixedShares(grant, now);
        m_leaseEnd = end;
        m_lastGrant = { grant.term, grant.sequence };
        m_lastGrantAt = now;
        return true;
    }

    BudgetUnits usable(const BudgetKey &key, Instant now) const
    {
        const auto it = m_states.find(key);
        if (it == m_states.end())
            return 0;
        return it->second.fixedAt(now) + leasedAt(it->second, now);
    }

    Instant nextChange(Instant now) const noexcept
    {
        Instant next = Instant::max();
        if (m_leaseEnd > now)
            next = m_leaseEnd;
        for (const auto &[key, state] : m_states) {
            for (const UsageCap &cap : state.caps) {
                if (cap.end > now)
                    next = std::min(next, cap.end);
            }
        }
        return next;
    }

    std::vector<BudgetKey> keys() const
    {
        std::vector<BudgetKey> found;
        found.reserve(m_states.size());
        for (const auto &[key, state] : m_states)
            found.push_back(key);
        return found;
    }

    RegisterVersion registerVersion() const noexcept { return m_version; }

private:
    BudgetState &stateOf(const BudgetKey &key)
    {
        const auto [it, added] = m_states.try_emplace(key);
        if (added)
            it->second.caps.push_back({ 0, 0, m_settings.startedAt + m_settings.timing.promise });
        return it->second;
    }

    BudgetUnits leasedAt(const BudgetState &state, Instant now) const noexcept
    {
        return now < m_leaseEnd ? state.pool + state.borrowed : 0;
    }

    // Returns false while requests of an earlier process may be in flight at the targets.
    bool previousProcessDrained(Instant now) const noexcept
    {
        return now >= m_settings.startedAt + m_settings.timing.slotDrain;
    }

    void addDemand(LeaseRequest &leaseRequest, const BudgetDemand &demand, Instant now)
    {
        if (demand.wanted > 0)
            leaseRequest.wanted.push_back({ demand.key, demand.wanted });
        const auto it = m_states.find(demand.key);
        BudgetState *state = it == m_states.end() ? nullptr : &it->second;
        const BudgetUnits fixed = state == nullptr ? 0 : state->fixedAt(now);
        const BudgetUnits beyondFixed = demand.inFlight > fixed ? demand.inFlight - fixed : 0;
        const BudgetUnits leased = state == nullptr ? 0 : leasedAt(*state, now);
        const BudgetUnits held = std::max(leased, beyondFixed);
        if (held > 0)
            leaseRequest.held.push_back({ demand.key, held });
        if (leased > 0 && state->pool > 0)
            leaseRequest.renewable.push_back({ demand.key, state->pool });
        if (state != nullptr && state->registered > 0 && previousProcessDrained(now))
            addPromise(leaseRequest, *state, demand, now);
    }

    void addPromise(LeaseRequest &leaseRequest, BudgetState &state, const BudgetDemand &demand,
                    Instant now)
    {
        const BudgetUnits reserve
            = (state.registered * ReservePercent + HundredPercent - 1) / HundredPercent;
        const BudgetUnits needed = std::max(demand.inFlight, demand.wanted + reserve);
        const BudgetUnits retained = std::min(state.fixedAt(now), needed);
        if (retained >= state.registered)
            return;
        leaseRequest.retained.push_back({ demand.key, retained });
        if (m_lastGrant.term != 0)
            state.addCap(
                { retained, leaseRequest.sequence, m_lastGrantAt + m_settings.timing.promise });
    }

    bool isCurrent(const LeaseGrant &grant) const noexcept
    {
        const bool ordered
            = grant.sequence > m_lastGrant.sequence && grant.term >= m_lastGrant.term;
        return ordered && grant.process == m_settings.process;
    }

    const Instant *sentAtOf(std::uint64_t sequence) const noexcept
    {
        for (const SentRequest &sent : m_sent) {
            if (sent.sequence == sequence)
                return &sent.at;
        }
        return nullptr;
    }

    void applyLeases(const LeaseGrant &grant, Instant now)
    {
        std::map<BudgetKey, BudgetUnits> previousPool;
        for (auto &[key, state] : m_states) {
            previousPool[key] = now < m_leaseEnd ? state.pool : 0;
            state.pool = 0;
            state.borrowed = 0;
        }
        for (const LeasedShare &share : grant.shares) {
            BudgetState &state = stateOf(share.key);
            state.pool
                = grant.renewalOnly ? std::min(share.pool, previousPool[share.key]) : share.pool;
            state.borrowed = grant.renewalOnly ? 0 : share.borrowed;
        }
    }

    void applyFixedShares(const LeaseGrant &grant, Instant now)
    {
        if (grant.registerVersion != m_version || !previousProcessDrained(now))
            return;
        for (const BudgetShare &share : grant.fixed) {
            BudgetState &state = stateOf(share.key);
            const BudgetUnits units = std::min(share.units, state.registered);
            state.fixed = std::max(state.fixed, units);
            state.raiseCaps(units, grant.sequence);
        }
    }

    void removeExpired(Instant now)
    {
        while (!m_sent.empty() && m_sent.front().at + m_settings.timing.lifetime <= now)
            m_sent.pop_front();
        for (auto it = m_states.begin(); it != m_states.end();) {
            BudgetState &state = it->second;
            std::erase_if(state.caps, [now](const UsageCap &cap) { return cap.end <= now; });
            const bool used = state.registered > 0 || leasedAt(state, now) > 0;
            it = used || !state.caps.empty() ? std::next(it) : m_states.erase(it);
        }
    }

    BudgetHolderSettings m_settings;
    RegisterVersion m_version;
    std::map<BudgetKey, BudgetState> m_states;
    std::uint64_t m_sequence = 0;
    std::deque<SentRequest> m_sent;
    GrantId m_lastGrant;
    Instant m_lastGrantAt;
    Instant m_leaseEnd = Instant::min();
};

Result<BudgetHolder> BudgetHolder::create(BudgetHolderSettings settings)
{
    const Result<BudgetTiming> timing = settings.timing.validated();
    if (!timing)
        return timing.error();
    return BudgetHolder(std::make_unique<Implementation>(std::move(settings)));
}

BudgetHolder::BudgetHolder(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{ }

BudgetHolder::~BudgetHolder() = default;
BudgetHolder::BudgetHolder(BudgetHolder &&other) noexcept = default;
BudgetHolder &BudgetHolder::operator=(BudgetHolder &&other) noexcept = default;

void BudgetHolder::applyRegister(RegisterVersion version, const std::vector<BudgetShare> &fixed)
{
    m_implementation->applyRegister(version, fixed);
}

LeaseRequest BudgetHolder::request(const std::vector<BudgetDemand> &demands, Instant now)
{
    return m_implementation->request(demands, now);
}

bool BudgetHolder::accept(const LeaseGrant &grant, Instant now)
{
    return m_implementation->accept(grant, now);
}

BudgetUnits BudgetHolder::usable(const BudgetKey &key, Instant now) const
{
    return m_implementation->usable(key, now);
}

Instant BudgetHolder::nextChange(Instant now) const noexcept
{
    return m_implementation->nextChange(now);
}

std::vector<BudgetKey> BudgetHolder::keys() const { return m_implementation->keys(); }

RegisterVersion BudgetHolder::registerVersion() const noexcept
{
    return m_implementation->registerVersion();
}

} // namespace ggv
