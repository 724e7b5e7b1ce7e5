#include <ggv/state/budget/budget_holder.hpp>

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <utility>

namespace ggv {

namespace {

//! Part of a fixed share that is kept above the current wants, so that a rise needs no grant.
constexpr BudgetUnits ReservePercent = 25;
constexpr BudgetUnits WholePercent = 100;
constexpr RegisterVersion UnconfirmedVersion = 0;

//! Upper bound on the use of a fixed share, promised in a request.
struct Cap
{
    BudgetUnits units = 0;
    std::uint64_t sequence = 0; // Of the request; 0: because the process started.
    Instant end;
};

struct Right
{
    BudgetUnits registered = 0; // Fixed share in the version in force.
    BudgetUnits fixed = 0; // Part of it that surely overlaps with no other version.
    BudgetUnits pool = 0;
    BudgetUnits borrowed = 0;
    std::vector<Cap> caps;

    BudgetUnits fixedAt(Instant now) const noexcept
    {
        BudgetUnits units = fixed;
        for (const Cap &cap : caps) {
            if (cap.end > now)
                units = std::min(units, cap.units);
        }
        return units;
    }

    void addCap(const Cap &added)
    {
        std::erase_if(
            caps, [&](const Cap &cap) { return cap.units >= added.units && cap.end <= added.end; });
        caps.push_back(added);
    }

    void lift(BudgetUnits units, std::uint64_t sequence) noexcept
    {
        for (Cap &cap : caps) {
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
            Right &right = rightOf(share.key);
            right.registered = share.units;
            right.fixed = share.units;
        }
    }

    void applyRegister(RegisterVersion version, const std::vector<BudgetShare> &fixed)
    {
        if (version < m_version)
            return;
        m_version = version;
        for (auto &[key, right] : m_rights)
            right.registered = 0;
        for (const BudgetShare &share : fixed)
            rightOf(share.key).registered = share.units;
        for (auto &[key, right] : m_rights)
            right.fixed = std::min(right.fixed, right.registered);
    }

    LeaseRequest request(const std::vector<BudgetDemand> &demands, Instant now)
    {
        forgetExpired(now);
        LeaseRequest made;
        made.holder = m_settings.host;
        made.sequence = ++m_sequence;
        made.process = m_settings.process;
        // Requests of a former process may still use a larger share of an older version.
        made.registerVersion = formerProcessDrained(now) ? m_version : UnconfirmedVersion;
        made.lastGrant = m_lastGrant;
        std::map<BudgetKey, BudgetDemand> byKey;
        for (const BudgetDemand &demand : demands)
            byKey[demand.key] = demand;
        for (auto &[key, right] : m_rights)
            byKey.try_emplace(key, BudgetDemand { key, 0, 0 });
        for (const auto &[key, demand] : byKey)
            addDemand(made, demand, now);
        m_sent.push_back({ m_sequence, now });
        return made;
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
        takeLeases(grant, now);
        takeFixed(grant, now);
        m_leaseEnd = end;
        m_lastGrant = { grant.term, grant.sequence };
        m_lastGrantAt = now;
        return true;
    }

    BudgetUnits usable(const BudgetKey &key, Instant now) const
    {
        const auto it = m_rights.find(key);
        if (it == m_rights.end())
            return 0;
        return it->second.fixedAt(now) + leasedAt(it->second, now);
    }

    Instant nextChange(Instant now) const noexcept
    {
        Instant next = Instant::max();
        if (m_leaseEnd > now)
            next = m_leaseEnd;
        for (const auto &[key, right] : m_rights) {
            for (const Cap &cap : right.caps) {
                if (cap.end > now)
                    next = std::min(next, cap.end);
            }
        }
        return next;
    }

    std::vector<BudgetKey> keys() const
    {
        std::vector<BudgetKey> found;
        found.reserve(m_rights.size());
        for (const auto &[key, right] : m_rights)
            found.push_back(key);
        return found;
    }

    RegisterVersion registerVersion() const noexcept { return m_version; }

private:
    Right &rightOf(const BudgetKey &key)
    {
        const auto [it, added] = m_rights.try_emplace(key);
        if (added)
            it->second.caps.push_back({ 0, 0, m_settings.startedAt + m_settings.timing.promise });
        return it->second;
    }

    BudgetUnits leasedAt(const Right &right, Instant now) const noexcept
    {
        return now < m_leaseEnd ? right.pool + right.borrowed : 0;
    }

    // Requests of a former process may still be in flight at the targets.
    bool formerProcessDrained(Instant now) const noexcept
    {
        return now >= m_settings.startedAt + m_settings.timing.slotDrain;
    }

    void addDemand(LeaseRequest &made, const BudgetDemand &demand, Instant now)
    {
        if (demand.wanted > 0)
            made.wanted.push_back({ demand.key, demand.wanted });
        const auto it = m_rights.find(demand.key);
        Right *right = it == m_rights.end() ? nullptr : &it->second;
        const BudgetUnits fixed = right == nullptr ? 0 : right->fixedAt(now);
        const BudgetUnits beyondFixed = demand.inFlight > fixed ? demand.inFlight - fixed : 0;
        const BudgetUnits leased = right == nullptr ? 0 : leasedAt(*right, now);
        const BudgetUnits held = std::max(leased, beyondFixed);
        if (held > 0)
            made.held.push_back({ demand.key, held });
        if (leased > 0 && right->pool > 0)
            made.renewable.push_back({ demand.key, right->pool });
        if (right != nullptr && right->registered > 0 && formerProcessDrained(now))
            addPromise(made, *right, demand, now);
    }

    void addPromise(LeaseRequest &made, Right &right, const BudgetDemand &demand, Instant now)
    {
        const BudgetUnits reserve
            = (right.registered * ReservePercent + WholePercent - 1) / WholePercent;
        const BudgetUnits needed = std::max(demand.inFlight, demand.wanted + reserve);
        const BudgetUnits retained = std::min(right.fixedAt(now), needed);
        if (retained >= right.registered)
            return;
        made.retained.push_back({ demand.key, retained });
        if (m_lastGrant.term != 0)
            right.addCap({ retained, made.sequence, m_lastGrantAt + m_settings.timing.promise });
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

    void takeLeases(const LeaseGrant &grant, Instant now)
    {
        std::map<BudgetKey, BudgetUnits> livePool;
        for (auto &[key, right] : m_rights) {
            livePool[key] = now < m_leaseEnd ? right.pool : 0;
            right.pool = 0;
            right.borrowed = 0;
        }
        for (const LeasedShare &share : grant.shares) {
            Right &right = rightOf(share.key);
            right.pool = grant.renewalOnly ? std::min(share.pool, livePool[share.key]) : share.pool;
            right.borrowed = grant.renewalOnly ? 0 : share.borrowed;
        }
    }

    void takeFixed(const LeaseGrant &grant, Instant now)
    {
        if (grant.registerVersion != m_version || !formerProcessDrained(now))
            return;
        for (const BudgetShare &share : grant.fixed) {
            Right &right = rightOf(share.key);
            const BudgetUnits units = std::min(share.units, right.registered);
            right.fixed = std::max(right.fixed, units);
            right.lift(units, grant.sequence);
        }
    }

    void forgetExpired(Instant now)
    {
        while (!m_sent.empty() && m_sent.front().at + m_settings.timing.lifetime <= now)
            m_sent.pop_front();
        for (auto it = m_rights.begin(); it != m_rights.end();) {
            Right &right = it->second;
            std::erase_if(right.caps, [now](const Cap &cap) { return cap.end <= now; });
            const bool used = right.registered > 0 || leasedAt(right, now) > 0;
            it = used || !right.caps.empty() ? std::next(it) : m_rights.erase(it);
        }
    }

    BudgetHolderSettings m_settings;
    RegisterVersion m_version;
    std::map<BudgetKey, Right> m_rights;
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
