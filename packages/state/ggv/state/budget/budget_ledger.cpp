#include <ggv/state/budget/budget_ledger.hpp>

#include <ggv/state/budget/fair_share.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ggv {

namespace {

//! Number of latest grants per holder that its requests can refer to.
constexpr std::size_t MaxRecordedGrants = 16;
//! A falling demand is lowered by about 1/DemandDecayParts per request, so that leases do not
//! oscillate.
constexpr BudgetUnits DemandDecayParts = 8;
//! Sums and fair shares of an account are recomputed once per this fraction of the lease lifetime.
constexpr Duration::rep RefreshParts = 20;

//! Upper bound of the usage of a fixed share, promised by its host and valid until `end`.
struct Promise
{
    BudgetUnits units = 0;
    Instant end;
};

struct FixedAccount
{
    BudgetUnits latest = 0; // Share in the version in force.
    BudgetUnits largest = 0; // Largest share in any version that the host may still have in force.
    std::vector<Promise> promises;
    BudgetUnits reclaimed = 0; // Part of its share that the host demands; not lent out again.
    Instant reclaimedUntil = Instant::min();

    BudgetUnits bound() const noexcept { return std::max(latest, largest); }

    BudgetUnits usageUntil(Instant end) const noexcept
    {
        BudgetUnits units = bound();
        for (const Promise &promise : promises) {
            if (promise.end >= end)
                units = std::min(units, promise.units);
        }
        return units;
    }

    void addPromise(const Promise &added, Instant now)
    {
        std::erase_if(promises, [&](const Promise &it) {
            return it.end < now || (it.units >= added.units && it.end <= added.end);
        });
        promises.push_back(added);
    }

    void raisePromises(BudgetUnits units) noexcept
    {
        for (Promise &promise : promises)
            promise.units = std::max(promise.units, units);
    }
};

//! Units that may be in use until `end`.
struct Holding
{
    std::uint64_t sequence = 0;
    BudgetUnits pool = 0;
    BudgetUnits units = 0;
    Instant end;
};

struct Total
{
    std::int64_t pool = 0;
    std::int64_t units = 0;
};

//! Leases, reported usage and demand of one holder for one budget.
struct HolderAccount
{
    std::vector<Holding> leases; // Leases of the current process; only one of them is in use.
    Holding reported;
    std::vector<Holding> former; // Leases of earlier processes; their units add up.
    BudgetUnits wanted = 0;
    Instant wantedUntil = Instant::min();
    BudgetUnits fairShare = 0; // Fair share at the last refresh of the account.
    Total counted; // Units of this holder in the account's sum; not an underestimate.

    void removeExpired(Instant now)
    {
        const auto expired = [now](const Holding &it) { return it.end < now; };
        std::erase_if(leases, expired);
        std::erase_if(former, expired);
        if (expired(reported))
            reported = Holding {};
    }

    Total current(Instant now) const noexcept
    {
        Total total;
        if (reported.end >= now)
            total.units = reported.units;
        for (const Holding &it : leases) {
            if (it.end < now)
                continue;
            total.units = std::max<std::int64_t>(total.units, it.units);
            total.pool = std::max<std::int64_t>(total.pool, it.pool);
        }
        return total;
    }

    Total formerTotal(Instant now) const noexcept
    {
        Total total;
        for (const Holding &it : former) {
            if (it.end < now)
                continue;
            total.units += it.units;
            total.pool += it.pool;
        }
        return total;
    }

    void replaceProcess(Instant now)
    {
        const Total total = current(now);
        Instant end = reported.end;
        for (const Holding &it : leases)
            end = std::max(end, it.end);
        if (total.units > 0)
            former.push_back({ 0, static_cast<BudgetUnits>(total.pool),
                               static_cast<BudgetUnits>(total.units), end });
        leases.clear();
        reported = Holding {};
    }

    bool isIdle(Instant now) const noexcept
    {
        return leases.empty() && former.empty() && reported.units == 0 && wantedUntil < now;
    }
};

using HostIndex = std::uint32_t;

struct KeyAccount
{
    BudgetKey key;
    BudgetUnits limit = 0;
    RegisterVersion lastChange = 0; // Version that last changed the limit or the fixed shares.
    std::map<HostIndex, FixedAccount> fixed;
    std::map<HostIndex, HolderAccount> holders;
    Total sum; // Sum over all holders; includes expired holdings until the next refresh.
    Instant refreshedAt = Instant::min();
    std::int64_t refreshedCapacity = 0;

    std::int64_t boundSum() const noexcept
    {
        std::int64_t units = 0;
        for (const auto &[host, account] : fixed)
            units += account.bound();
        return units;
    }

    // Updates the sum after a change of one holder.
    void recount(HolderAccount &holder, Instant now) noexcept
    {
        sum.units -= holder.counted.units;
        sum.pool -= holder.counted.pool;
        const Total current = holder.current(now);
        const Total former = holder.formerTotal(now);
        holder.counted = { current.pool + former.pool, current.units + former.units };
        sum.units += holder.counted.units;
        sum.pool += holder.counted.pool;
    }

    // Recomputes the sum without expired holdings, and the fair shares.
    void refresh(Instant now, std::int64_t capacity)
    {
        std::vector<BudgetUnits> demands;
        std::vector<HolderAccount *> demanding;
        for (auto &[host, holder] : holders) {
            recount(holder, now);
            holder.fairShare = 0;
            if (holder.wantedUntil < now || holder.wanted == 0)
                continue;
            demands.push_back(holder.wanted);
            demanding.push_back(&holder);
        }
        refreshedAt = now;
        refreshedCapacity = capacity;
        if (demands.empty())
            return;
        const std::size_t firstExtra = std::hash<std::string> {}(key.subject) % demands.size();
        const std::vector<BudgetUnits> shares = fairShares(capacity, demands, firstExtra);
        for (std::size_t n = 0; n < demanding.size(); ++n)
            demanding[n]->fairShare = shares[n];
    }
};

struct HostAccount
{
    HostName name;
    std::uint64_t process = 0;
    std::uint64_t sequence = 0;
    Instant lastRequestAt = Instant::min();
    RegisterVersion reportedVersion = 0;
    RegisterVersion checkedVersion = 0; // Version of the limits when reportedVersion was set.
    std::vector<KeyAccount *> fixedIn;
    std::deque<std::pair<std::uint64_t, Instant>> grants; // Sequence and a time before sending.
    std::vector<KeyAccount *> leasedIn;
    Instant stoppedFrom = Instant::max();
    Instant stoppedUntil = Instant::min();

    bool isStopped(Instant from, Instant until) const noexcept
    {
        return stoppedFrom <= from && stoppedUntil >= until;
    }
};

//! Input for the decision about one budget of one request.
struct Decision
{
    KeyAccount &account;
    HostIndex host;
    BudgetUnits wanted = 0;
    BudgetUnits retained = 0;
    bool sameVersion = false;
    Instant now;
    Instant end; // Latest time at which units of a new lease are in use.
};

} // namespace

class BudgetLedger::Implementation
{
public:
    explicit Implementation(const BudgetTiming &timing)
        : m_timing(timing)
    { }

    void setLimits(const BudgetLimits &limits)
    {
        if (limits.version < m_version)
            return;
        m_version = limits.version;
        auto next = limits.limits.begin();
        for (auto &entry : m_keys) {
            const BudgetKey &key = entry.first;
            next = std::find_if_not(next, limits.limits.end(),
                                    [&key](const BudgetLimit &it) { return it.key < key; });
            if (next == limits.limits.end() || next->key != key)
                updateLimit(entry.second, { key, 0, {} });
        }
        for (const BudgetLimit &limit : limits.limits)
            updateLimit(accountOf(limit.key), limit);
        std::erase_if(m_keys, [](const auto &entry) { return isUnused(entry.second); });
        indexFixedShares();
    }

    void removeHost(const HostName &host)
    {
        const auto it = m_indexOf.find(host);
        if (it == m_indexOf.end())
            return;
        for (auto &[key, account] : m_keys)
            account.fixed.erase(it->second);
        m_hosts[it->second].fixedIn.clear();
    }

    void recordStopped(const StopEvidence &evidence)
    {
        HostAccount &host = m_hosts[hostOf(evidence.host)];
        if (evidence.probeSentAt <= std::max(host.lastRequestAt, m_termStart))
            return;
        if (host.stoppedUntil < evidence.probeSentAt)
            host.stoppedFrom = evidence.answeredAt + m_timing.maxWithDrift(m_timing.slotDrain);
        const Instant until = evidence.probeSentAt + m_timing.minWithDrift(m_timing.promise);
        host.stoppedUntil = std::max(host.stoppedUntil, until);
    }

    std::optional<LeaseGrant> answer(const LeaseRequest &request, Instant now,
                                     const GrantorAuthority &authority)
    {
        if (!authority.leaderLease || authority.term < m_term)
            return std::nullopt;
        if (authority.term > m_term)
            startTerm(authority.term, now);
        const HostIndex host = hostOf(request.holder);
        if (!admitRequest(host, request, now))
            return std::nullopt;
        applyReport(host, request, now);
        LeaseGrant grant;
        grant.sequence = request.sequence;
        grant.process = request.process;
        grant.term = m_term;
        grant.registerVersion = request.registerVersion;
        grant.lifetime = m_timing.lifetime;
        grant.renewalOnly = inGracePeriod(now);
        if (grant.renewalOnly)
            renew(host, request, grant, now);
        else
            decideLeases(host, request, grant, now);
        recordGrant(m_hosts[host], request.sequence, now);
        return grant;
    }

    RegisterVersion convergedVersion(Instant now)
    {
        if (m_term != 0 && !inGracePeriod(now) && isConverged()) {
            for (const auto &[key, account] : m_keys)
                m_convergedVersion = std::max(m_convergedVersion, account.lastChange);
        }
        return m_convergedVersion;
    }

    BudgetUsage use(const BudgetKey &key, Instant now) const
    {
        const auto it = m_keys.find(key);
        if (it == m_keys.end())
            return {};
        const Instant end = leaseEnd(key.kind, now);
        return { it->second.limit, fixedUsage(it->second, now, end), it->second.sum.units };
    }

private:
    static bool isUnused(const KeyAccount &account)
    {
        return account.limit == 0 && account.holders.empty() && account.boundSum() == 0;
    }

    // Does not change an account whose limit is the same, so that hosts need not confirm it again.
    void updateLimit(KeyAccount &account, const BudgetLimit &limit)
    {
        std::map<HostIndex, BudgetUnits> before;
        std::map<HostIndex, BudgetUnits> after;
        for (const auto &[host, fixed] : account.fixed) {
            if (fixed.latest > 0)
                before[host] = fixed.latest;
        }
        for (const FixedShare &share : limit.fixed) {
            if (share.units > 0)
                after[hostOf(share.host)] = share.units;
        }
        if (account.limit == limit.units && before == after)
            return;
        account.limit = limit.units;
        account.lastChange = m_version;
        for (auto &[host, fixed] : account.fixed) {
            fixed.largest = fixed.bound();
            fixed.latest = 0;
        }
        for (const auto &[host, units] : after)
            account.fixed[host].latest = units;
        std::erase_if(account.fixed, [](const auto &it) { return it.second.bound() == 0; });
    }

    void indexFixedShares()
    {
        for (HostAccount &host : m_hosts) {
            host.fixedIn.clear();
            host.checkedVersion = 0;
        }
        for (auto &[key, account] : m_keys) {
            for (const auto &[host, fixed] : account.fixed)
                m_hosts[host].fixedIn.push_back(&account);
        }
    }

    KeyAccount &accountOf(const BudgetKey &key)
    {
        KeyAccount &account = m_keys[key];
        account.key = key;
        return account;
    }

    HostIndex hostOf(const HostName &name)
    {
        const auto [it, added]
            = m_indexOf.try_emplace(name, static_cast<HostIndex>(m_hosts.size()));
        if (added) {
            m_hosts.emplace_back();
            m_hosts.back().name = name;
        }
        return it->second;
    }

    Instant leaseEnd(BudgetKind kind, Instant now) const noexcept
    {
        return now + m_timing.maxWithDrift(m_timing.lifetime + m_timing.drain(kind));
    }

    bool inGracePeriod(Instant now) const noexcept
    {
        return now <= m_termStart + m_timing.maxWithDrift(m_timing.lifetime + m_timing.slotDrain);
    }

    // Discards the state of earlier terms, except the shares of the register versions.
    void startTerm(std::uint64_t term, Instant now)
    {
        m_term = term;
        m_termStart = now;
        for (HostAccount &host : m_hosts) {
            HostAccount fresh;
            fresh.name = host.name;
            fresh.fixedIn = std::move(host.fixedIn);
            host = std::move(fresh);
        }
        for (auto &[key, account] : m_keys) {
            account.holders.clear();
            account.sum = {};
            account.refreshedAt = Instant::min();
            for (auto &[host, fixed] : account.fixed)
                fixed = { fixed.latest, fixed.largest, {}, 0, Instant::min() };
        }
    }

    bool admitRequest(HostIndex index, const LeaseRequest &request, Instant now)
    {
        HostAccount &host = m_hosts[index];
        const bool known = host.process != 0;
        if (known && request.process == host.process && request.sequence <= host.sequence)
            return false;
        const bool recent
            = known && host.lastRequestAt + m_timing.maxWithDrift(m_timing.promise) >= now;
        if (recent && request.process < host.process)
            return false;
        if (request.process != host.process)
            replaceProcess(host, index, now);
        host.process = request.process;
        host.sequence = request.sequence;
        host.lastRequestAt = now;
        clearStopEvidence(host, index, now);
        return true;
    }

    // Replaces the evidence by promises of zero usage: existing leases may rely on it, and the next
    // process uses no fixed share until the wait after its start is over.
    static void clearStopEvidence(HostAccount &host, HostIndex index, Instant now)
    {
        if (host.isStopped(now, now)) {
            for (KeyAccount *account : host.fixedIn)
                account->fixed[index].addPromise({ 0, host.stoppedUntil }, now);
        }
        host.stoppedFrom = Instant::max();
        host.stoppedUntil = Instant::min();
    }

    void replaceProcess(HostAccount &host, HostIndex index, Instant now)
    {
        host.grants.clear();
        for (KeyAccount *account : host.leasedIn)
            account->holders[index].replaceProcess(now);
    }

    void applyReport(HostIndex index, const LeaseRequest &request, Instant now)
    {
        HostAccount &host = m_hosts[index];
        const Instant *grantedAt = grantTime(host, request.lastGrant);
        for (KeyAccount *account : host.leasedIn) {
            HolderAccount &holder = account->holders[index];
            holder.reported = Holding {};
            if (grantedAt != nullptr)
                std::erase_if(holder.leases, [&](const Holding &it) {
                    return it.sequence < request.lastGrant.sequence;
                });
        }
        for (const BudgetShare &share : request.held) {
            if (HolderAccount *holder = holderOf(share.key, index); holder != nullptr)
                holder->reported = { 0, 0, share.units, leaseEnd(share.key.kind, now) };
        }
        for (KeyAccount *account : host.leasedIn)
            account->recount(account->holders[index], now);
        if (grantedAt != nullptr)
            applyPromises(index, request, *grantedAt, now);
        confirmVersion(index, request.registerVersion);
    }

    void applyPromises(HostIndex index, const LeaseRequest &request, Instant grantedAt, Instant now)
    {
        const Instant end = grantedAt + m_timing.minWithDrift(m_timing.promise);
        for (const BudgetShare &share : request.retained) {
            FixedAccount *fixed = fixedOf(share.key, index);
            if (fixed != nullptr)
                fixed->addPromise({ share.units, end }, now);
        }
    }

    // Once a host has applied the version that last changed an account, it no longer uses a larger
    // share of an older version.
    void confirmVersion(HostIndex index, RegisterVersion version)
    {
        HostAccount &host = m_hosts[index];
        if (version > m_version
            || (version == host.reportedVersion && host.checkedVersion == m_version))
            return;
        for (KeyAccount *account : host.fixedIn) {
            FixedAccount &fixed = account->fixed[index];
            if (account->lastChange <= version)
                fixed.largest = fixed.latest;
        }
        host.reportedVersion = version;
        host.checkedVersion = m_version;
    }

    const Instant *grantTime(const HostAccount &host, const GrantId &id) const
    {
        if (id.term != m_term)
            return nullptr;
        for (const auto &[sequence, at] : host.grants) {
            if (sequence == id.sequence)
                return &at;
        }
        return nullptr;
    }

    static void recordGrant(HostAccount &host, std::uint64_t sequence, Instant now)
    {
        host.grants.emplace_back(sequence, now);
        if (host.grants.size() > MaxRecordedGrants)
            host.grants.pop_front();
    }

    FixedAccount *fixedOf(const BudgetKey &key, HostIndex host)
    {
        const auto it = m_keys.find(key);
        if (it == m_keys.end())
            return nullptr;
        const auto found = it->second.fixed.find(host);
        return found == it->second.fixed.end() ? nullptr : &found->second;
    }

    HolderAccount *holderOf(const BudgetKey &key, HostIndex host)
    {
        const auto it = m_keys.find(key);
        if (it == m_keys.end())
            return nullptr;
        const auto [holder, added] = it->second.holders.try_emplace(host);
        if (added)
            m_hosts[host].leasedIn.push_back(&it->second);
        return &holder->second;
    }

    // Returns the units that new leases must leave free for fixed shares.
    std::int64_t fixedReserve(const KeyAccount &account, Instant now, Instant end) const
    {
        std::int64_t sum = 0;
        for (const auto &[host, fixed] : account.fixed) {
            const BudgetUnits reclaimed = fixed.reclaimedUntil >= now ? fixed.reclaimed : 0;
            const BudgetUnits usage = m_hosts[host].isStopped(now, end) ? 0 : fixed.usageUntil(end);
            sum += std::max(usage, reclaimed);
        }
        return sum;
    }

    std::int64_t fixedUsage(const KeyAccount &account, Instant now, Instant end) const
    {
        std::int64_t sum = 0;
        for (const auto &[host, fixed] : account.fixed)
            sum += m_hosts[host].isStopped(now, end) ? 0 : fixed.usageUntil(end);
        return sum;
    }

    void renew(HostIndex host, const LeaseRequest &request, LeaseGrant &grant, Instant now)
    {
        for (const BudgetShare &share : request.renewable) {
            HolderAccount *holder = holderOf(share.key, host);
            if (holder == nullptr)
                continue;
            const Instant end = leaseEnd(share.key.kind, now);
            holder->leases.push_back({ request.sequence, share.units, share.units, end });
            m_keys.find(share.key)->second.recount(*holder, now);
            grant.shares.push_back({ share.key, share.units, 0 });
        }
    }

    void decideLeases(HostIndex host, const LeaseRequest &request, LeaseGrant &grant, Instant now)
    {
        std::map<BudgetKey, BudgetUnits> retained;
        for (const BudgetShare &share : request.retained)
            retained[share.key] = share.units;
        for (const BudgetShare &share : request.wanted) {
            const auto it = m_keys.find(share.key);
            if (it == m_keys.end())
                continue;
            const auto promised = retained.find(share.key);
            const FixedAccount *fixed = fixedOf(share.key, host);
            const BudgetUnits own = fixed == nullptr ? 0 : fixed->latest;
            const bool sameVersion = request.registerVersion >= it->second.lastChange
                && request.registerVersion <= m_version;
            Decision decision { it->second,
                                host,
                                share.units,
                                promised == retained.end() ? own : promised->second,
                                sameVersion,
                                now,
                                leaseEnd(share.key.kind, now) };
            raiseFixed(decision, grant);
            grantLease(decision, request.sequence, grant);
        }
        removeIdleHolders(host, now);
    }

    // Raises the usable part of a host's fixed share: lent units are returned to it, or a new
    // version takes effect.
    void raiseFixed(Decision &decision, LeaseGrant &grant) const
    {
        KeyAccount &account = decision.account;
        const auto it = account.fixed.find(decision.host);
        if (it == account.fixed.end() || !decision.sameVersion
            || decision.wanted <= decision.retained)
            return;
        FixedAccount &fixed = it->second;
        fixed.reclaimed = std::min(fixed.latest, decision.wanted);
        fixed.reclaimedUntil = decision.now + m_timing.maxWithDrift(m_timing.lifetime);
        const Total leased = account.sum;
        if (account.boundSum() + leased.pool > account.limit)
            return;
        const std::int64_t counted = fixed.usageUntil(decision.end);
        const std::int64_t others = fixedUsage(account, decision.now, decision.end) - counted;
        // The units counted for this host may exceed those that it may use, so the grant is
        // limited to the units that are actually free.
        const std::int64_t freeUnits = account.limit - leased.units - others;
        const std::int64_t units = std::min({ freeUnits, static_cast<std::int64_t>(fixed.latest),
                                              static_cast<std::int64_t>(decision.wanted) });
        if (units <= decision.retained)
            return;
        decision.retained = static_cast<BudgetUnits>(units);
        fixed.raisePromises(decision.retained);
        grant.fixed.push_back({ account.key, decision.retained });
    }

    void grantLease(const Decision &decision, std::uint64_t sequence, LeaseGrant &grant)
    {
        KeyAccount &account = decision.account;
        HolderAccount &holder = *holderOf(account.key, decision.host);
        updateDemand(holder, decision);
        const std::int64_t capacity
            = account.limit - fixedReserve(account, decision.now, decision.end);
        refresh(account, holder, capacity, decision.now);
        account.recount(holder, decision.now);
        const Total own = holder.current(decision.now);
        const Total leased = account.sum;
        const std::int64_t free = capacity - (leased.units - own.units);
        const std::int64_t fair = std::min(holder.fairShare, holder.wanted);
        const std::int64_t units = std::min(fair, free);
        if (units <= 0)
            return;
        const std::int64_t freePool = account.limit - account.boundSum() - (leased.pool - own.pool);
        const std::int64_t pool = std::clamp<std::int64_t>(freePool, 0, units);
        const LeasedShare share { account.key, static_cast<BudgetUnits>(pool),
                                  static_cast<BudgetUnits>(units - pool) };
        holder.leases.push_back({ sequence, share.pool, share.units(), decision.end });
        account.recount(holder, decision.now);
        grant.shares.push_back(share);
    }

    void updateDemand(HolderAccount &holder, const Decision &decision) const
    {
        const BudgetUnits wanted
            = decision.wanted > decision.retained ? decision.wanted - decision.retained : 0;
        const bool recent = holder.wantedUntil >= decision.now;
        const BudgetUnits decayed
            = recent ? holder.wanted * (DemandDecayParts - 1) / DemandDecayParts : 0;
        const bool decaysSlowly = wanted > 0 && decayed > wanted;
        holder.wanted = decaysSlowly ? decayed : wanted;
        holder.wantedUntil = decision.now + m_timing.maxWithDrift(m_timing.lifetime);
        holder.removeExpired(decision.now);
    }

    // Recomputes the fair shares if they are outdated: after a fraction of the lease lifetime, or
    // earlier if the capacity changed and this holder has demand but no share.
    void refresh(KeyAccount &account, const HolderAccount &holder, std::int64_t capacity,
                 Instant now) const
    {
        const bool recent = account.refreshedAt + m_timing.lifetime / RefreshParts > now;
        const bool unserved = holder.fairShare == 0 && holder.wanted > 0;
        if (!recent || (capacity != account.refreshedCapacity && unserved))
            account.refresh(now, capacity);
    }

    void removeIdleHolders(HostIndex host, Instant now)
    {
        std::erase_if(m_hosts[host].leasedIn, [&](KeyAccount *account) {
            HolderAccount &holder = account->holders[host];
            holder.removeExpired(now);
            account->recount(holder, now);
            if (!holder.isIdle(now))
                return false;
            account->holders.erase(host);
            return true;
        });
    }

    bool isConverged() const
    {
        for (const auto &[key, account] : m_keys) {
            for (const auto &[host, fixed] : account.fixed) {
                if (fixed.bound() > 0 && m_hosts[host].reportedVersion < account.lastChange)
                    return false;
            }
            if (account.boundSum() + account.sum.pool > account.limit)
                return false;
        }
        return true;
    }

    BudgetTiming m_timing;
    RegisterVersion m_version = 0;
    RegisterVersion m_convergedVersion = 0;
    std::uint64_t m_term = 0;
    Instant m_termStart = Instant::min();
    std::map<BudgetKey, KeyAccount> m_keys;
    std::unordered_map<HostName, HostIndex> m_indexOf;
    std::vector<HostAccount> m_hosts;
};

Result<BudgetLedger> BudgetLedger::create(const BudgetTiming &timing)
{
    const Result<BudgetTiming> checked = timing.validated();
    if (!checked)
        return checked.error();
    return BudgetLedger(std::make_unique<Implementation>(timing));
}

BudgetLedger::BudgetLedger(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{ }

BudgetLedger::~BudgetLedger() = default;
BudgetLedger::BudgetLedger(BudgetLedger &&other) noexcept = default;
BudgetLedger &BudgetLedger::operator=(BudgetLedger &&other) noexcept = default;

void BudgetLedger::setLimits(const BudgetLimits &limits) { m_implementation->setLimits(limits); }

void BudgetLedger::removeHost(const HostName &host) { m_implementation->removeHost(host); }

void BudgetLedger::recordStopped(const StopEvidence &evidence)
{
    m_implementation->recordStopped(evidence);
}

std::optional<LeaseGrant> BudgetLedger::answer(const LeaseRequest &request, Instant receivedAt,
                                               const GrantorAuthority &authority)
{
    return m_implementation->answer(request, receivedAt, authority);
}

RegisterVersion BudgetLedger::convergedVersion(Instant now)
{
    return m_implementation->convergedVersion(now);
}

BudgetUsage BudgetLedger::use(const BudgetKey &key, Instant now) const
{
    return m_implementation->use(key, now);
}

} // namespace ggv
