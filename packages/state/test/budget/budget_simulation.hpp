#pragma once

#include <ggv/state/budget/budget_holder.hpp>
#include <ggv/state/budget/budget_ledger.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace ggv::test {

//! Simulates hosts, grantors, drifting clocks and a faulty network in virtual time.
class BudgetSimulation
{
public:
    static constexpr std::size_t HostCount = 5;
    static constexpr std::size_t GrantorCount = 3;
    static constexpr std::size_t DomainHosts = 3; // Hosts 0..2 share the targets' failure domain.
    static constexpr Duration RequestInterval = std::chrono::milliseconds(500);
    static constexpr Duration SampleInterval = std::chrono::milliseconds(50);

    explicit BudgetSimulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (Clock &clock : m_grantorClocks)
            clock = randomClock();
        for (std::size_t n = 0; n < GrantorCount; ++n)
            m_ledgers.push_back(BudgetLedger::create(m_timing).value());
        addVersion(limits(12, { 3, 3, 0 }));
        m_convergedVersion = 1;
        for (std::size_t n = 0; n < HostCount; ++n) {
            m_hosts[n].clock = randomClock();
            start(n);
        }
    }

    //! Advances virtual time in steps of SampleInterval and checks the limits after each step.
    void run(Duration length)
    {
        const Instant end = m_now + length;
        while (m_now < end) {
            m_now = std::min(end, m_now + SampleInterval);
            removeEndedRequests();
            deliverDue();
            for (std::size_t n = 0; n < HostCount; ++n)
                runHost(n);
            checkLimits();
        }
    }

    //! Performs one fault, repair or change, selected by @p choice.
    void step(std::uint32_t choice)
    {
        m_random.seed(choice);
        const std::size_t host = randomBelow(HostCount);
        switch (randomBelow(15)) {
        case 0:
            kill(host);
            break;
        case 1:
        case 2:
            start(host);
            break;
        case 3:
            m_hosts[host].frozen = true;
            break;
        case 4:
        case 5:
            m_hosts[host].frozen = false;
            break;
        case 6:
            changeLeader(randomBelow(GrantorCount));
            break;
        case 7:
            m_leaseHeld = false;
            break;
        case 8:
            m_grantorFrozen[randomBelow(GrantorCount)] = true;
            break;
        case 9:
            m_grantorFrozen.fill(false);
            break;
        case 10:
            partition(host, true);
            break;
        case 11:
            partition(host, false);
            break;
        case 12:
            changeRegister();
            break;
        case 13:
            applyVersion(host);
            break;
        default:
            m_hosts[host].wanted
                = { randomUnits(14), randomUnits(8), randomUnits(900), randomUnits(90) };
            break;
        }
        run(std::chrono::milliseconds(randomBelow(8) == 0 ? randomBelow(9000) : randomBelow(500)));
    }

    void repair()
    {
        m_networkFaulty = false;
        m_grantorFrozen.fill(false);
        for (std::size_t n = 0; n < HostCount; ++n) {
            m_hosts[n].frozen = false;
            partition(n, false);
            start(n);
            applyVersion(n, m_versions.size());
        }
        if (!m_leaseHeld)
            changeLeader(m_leader);
    }

    void kill(std::size_t n)
    {
        Host &host = m_hosts[n];
        if (!host.holder)
            return;
        host.holder.reset();
        host.orphans.insert(host.orphans.end(), host.inFlight.begin(), host.inFlight.end());
        host.inFlight.clear();
        host.inbox.clear();
    }

    void start(std::size_t n)
    {
        Host &host = m_hosts[n];
        if (host.holder)
            return;
        host.frozen = false;
        host.version = std::max(host.version, m_convergedVersion);
        BudgetHolderSettings settings { name(n),      ++m_processes,
                                        m_timing,     localTime(host.clock),
                                        host.version, {} };
        std::map<BudgetKey, BudgetUnits> least;
        for (const BudgetShare &it : versionOf(host.version).fixedOf(name(n)))
            least[it.key] = it.units;
        for (RegisterVersion it = m_convergedVersion; it <= host.version; ++it) {
            std::map<BudgetKey, BudgetUnits> shares;
            for (const BudgetShare &share : versionOf(it).fixedOf(name(n)))
                shares[share.key] = share.units;
            for (auto &[key, units] : least)
                units = std::min(units, shares[key]);
        }
        for (const auto &[key, units] : least)
            settings.fixed.push_back({ key, units });
        host.holder.emplace(BudgetHolder::create(settings).value());
        host.holder->applyRegister(host.version, versionOf(host.version).fixedOf(name(n)));
    }

    //! Partitions a host from all grantors in one or both directions, or heals the partition.
    void partition(std::size_t n, bool isPartitioned)
    {
        m_hosts[n].outboundCut = isPartitioned && (!m_networkFaulty || randomBelow(3) != 0);
        m_hosts[n].inboundCut = isPartitioned && (!m_hosts[n].outboundCut || randomBelow(2) != 0);
    }

    void setWanted(std::size_t n, const std::array<BudgetUnits, 4> &wanted)
    {
        m_hosts[n].wanted = wanted;
    }
    void changeLeader(std::size_t next)
    {
        m_leader = next;
        m_leaseHeld = true;
        ++m_term;
    }
    void addVersion(BudgetLimits next)
    {
        next.version = m_versions.size() + 1;
        m_versions.push_back(next);
        m_versionTimes.push_back(m_now);
        for (BudgetLedger &ledger : m_ledgers)
            ledger.setLimits(next);
    }
    //! Applies a register version on a host, at most the latest one.
    void applyVersion(std::size_t n, RegisterVersion version)
    {
        Host &host = m_hosts[n];
        host.version
            = std::max(host.version, std::min<RegisterVersion>(version, m_versions.size()));
        if (host.holder)
            host.holder->applyRegister(host.version, versionOf(host.version).fixedOf(name(n)));
    }
    void setNetworkFaulty(bool faulty) noexcept { m_networkFaulty = faulty; }

    [[nodiscard]] BudgetUnits usable(std::size_t n, std::size_t key) const
    {
        const Host &host = m_hosts[n];
        return host.holder ? host.holder->usable(keys()[key], localTime(host.clock)) : 0;
    }

    [[nodiscard]] BudgetUnits wanted(std::size_t n, std::size_t key) const
    {
        return m_hosts[n].wanted.at(key);
    }

    [[nodiscard]] const std::string &violation() const noexcept { return m_violation; }
    [[nodiscard]] const BudgetLimits &latest() const { return m_versions.back(); }
    [[nodiscard]] std::size_t grants() const noexcept { return m_acceptedGrants; }

    static const std::vector<BudgetKey> &keys()
    {
        static const std::vector<BudgetKey> all {
            { BudgetKind::TargetSlots, "kits-1" },
            { BudgetKind::TargetSlots, "kits-2" },
            { BudgetKind::LinkRate, "north>south" },
            { BudgetKind::ShiftRate, "kits:north>south" },
        };
        return all;
    }

    static HostName name(std::size_t n) { return HostName("host-" + std::to_string(n)); }

    static BudgetLimits limits(BudgetUnits slots, const std::array<BudgetUnits, DomainHosts> &fixed)
    {
        BudgetLimits result;
        result.limits = { { keys()[0], slots, {} },
                          { keys()[1], 7, {} },
                          { keys()[2], 1000, {} },
                          { keys()[3], 100, {} } };
        for (std::size_t n = 0; n < DomainHosts; ++n) {
            result.limits[0].fixed.push_back({ name(n), fixed.at(n) });
            result.limits[1].fixed.push_back({ name(n), n == 0 ? 5U : 1U });
        }
        return result;
    }

private:
    struct Clock
    {
        double rate = 1.0;
        Duration offset { 0 };
    };

    struct InFlight
    {
        std::size_t key = 0;
        Instant end;
    };

    struct Host
    {
        Clock clock;
        std::optional<BudgetHolder> holder;
        RegisterVersion version = 1;
        bool frozen = false;
        bool outboundCut = false;
        bool inboundCut = false;
        Instant nextRequest;
        std::array<BudgetUnits, 4> wanted { 5, 5, 500, 50 };
        std::vector<InFlight> inFlight;
        std::vector<InFlight> orphans; // Requests of killed processes, still at the target.
        std::vector<LeaseGrant> inbox;
    };

    struct Message
    {
        Instant at;
        std::size_t host = 0;
        std::size_t grantor = 0;
        std::variant<LeaseRequest, LeaseGrant> content;
    };

    // A request that a grantor has read. The grantor may freeze before it decides and before it
    // sends the grant.
    struct ReceivedRequest
    {
        std::size_t host = 0;
        LeaseRequest request;
        Instant receivedAt;
        GrantorAuthority authority;
    };

    struct Probe
    {
        std::size_t grantor = 0;
        StopEvidence evidence;
        Instant at;
    };

    std::size_t randomBelow(std::size_t count) { return m_random() % count; }
    BudgetUnits randomUnits(std::size_t most)
    {
        return static_cast<BudgetUnits>(randomBelow(most + 1));
    }

    Clock randomClock()
    {
        const double drift = static_cast<double>(randomBelow(101)) / 1000.0 - 0.05;
        const double rate = randomBelow(3) == 0 ? (drift < 0 ? 0.95 : 1.05) : 1.0 + drift;
        return { rate, std::chrono::seconds(randomBelow(100000)) };
    }

    Instant localTime(const Clock &clock) const
    {
        const auto passed = static_cast<double>(m_now.time_since_epoch().count()) * clock.rate;
        return Instant(clock.offset + Duration(static_cast<Duration::rep>(passed)));
    }

    const BudgetLimits &versionOf(RegisterVersion version) const
    {
        return m_versions.at(version - 1);
    }

    void changeRegister()
    {
        static constexpr std::array<std::array<BudgetUnits, DomainHosts>, 5> Splits {
            { { 3, 3, 0 }, { 2, 2, 2 }, { 12, 0, 0 }, { 0, 1, 11 }, { 4, 4, 4 } }
        };
        const auto &split = Splits.at(randomBelow(Splits.size()));
        const bool other = randomBelow(4) == 0;
        addVersion(limits(other ? 12 + randomUnits(4) : 12, split));
    }

    void applyVersion(std::size_t n) { applyVersion(n, m_hosts[n].version + randomBelow(3)); }

    Duration delay()
    {
        if (!m_networkFaulty)
            return std::chrono::milliseconds(12);
        return std::chrono::milliseconds(randomBelow(6) == 0 ? randomBelow(6000) : randomBelow(60));
    }

    void send(const Message &message, bool isPartitioned)
    {
        const std::size_t copies
            = m_networkFaulty ? std::array { 0, 1, 1, 1, 1, 2 }.at(randomBelow(6)) : 1;
        for (std::size_t n = 0; n < copies && !isPartitioned; ++n) {
            m_messages.push_back(message);
            m_messages.back().at = m_now + delay();
        }
    }

    void deliverDue()
    {
        std::vector<Message> due;
        const auto later
            = std::stable_partition(m_messages.begin(), m_messages.end(),
                                    [this](const Message &it) { return it.at > m_now; });
        due.assign(later, m_messages.end());
        m_messages.erase(later, m_messages.end());
        std::stable_sort(due.begin(), due.end(),
                         [](const Message &one, const Message &two) { return one.at < two.at; });
        for (const Message &it : due) {
            if (const auto *request = std::get_if<LeaseRequest>(&it.content))
                m_pendingRequests.at(it.grantor).push_back({ it.host, *request, {}, {} });
            else
                m_hosts.at(it.host).inbox.push_back(std::get<LeaseGrant>(it.content));
        }
        for (std::size_t n = 0; n < GrantorCount; ++n)
            runGrantor(n);
        probe();
    }

    // Each call performs one stage per request; a freeze can delay the next stage by any length.
    void runGrantor(std::size_t n)
    {
        if (m_grantorFrozen.at(n))
            return;
        for (const auto &[host, grant] : m_pendingGrants.at(n))
            send({ {}, host, n, grant }, m_hosts.at(host).inboundCut);
        m_pendingGrants.at(n).clear();
        for (const ReceivedRequest &it : m_receivedRequests.at(n)) {
            const auto grant = m_ledgers.at(n).answer(it.request, it.receivedAt, it.authority);
            if (grant)
                m_pendingGrants.at(n).emplace_back(it.host, *grant);
        }
        m_receivedRequests.at(n) = std::move(m_pendingRequests.at(n));
        m_pendingRequests.at(n).clear();
        for (ReceivedRequest &it : m_receivedRequests.at(n)) {
            it.receivedAt = localTime(m_grantorClocks.at(n));
            it.authority = { n == m_leader && m_leaseHeld, n == m_leader ? m_term : 0 };
        }
        if (n == m_leader && m_leaseHeld)
            m_convergedVersion
                = std::max(m_convergedVersion,
                           m_ledgers.at(n).convergedVersion(localTime(m_grantorClocks.at(n))));
    }

    // The leader probes hosts; the operating system refuses the connection if the process stopped.
    void probe()
    {
        const Clock &clock = m_grantorClocks.at(m_leader);
        for (Probe &it : m_probes) {
            if (it.at > m_now || m_grantorFrozen.at(it.grantor))
                continue;
            it.evidence.answeredAt = localTime(m_grantorClocks.at(it.grantor));
            m_ledgers.at(it.grantor).recordStopped(it.evidence);
            it.at = Instant::max();
        }
        std::erase_if(m_probes, [](const Probe &it) { return it.at == Instant::max(); });
        const std::size_t n = m_probeCount++ % HostCount;
        if (!m_hosts[n].holder && !m_hosts[n].outboundCut)
            m_probes.push_back({ m_leader, { name(n), localTime(clock), {} }, m_now + delay() });
    }

    // Called before any host acts, so that requests that ended since the last sample do not count
    // as in use.
    void removeEndedRequests()
    {
        const auto ended = [this](const InFlight &it) { return it.end <= m_now; };
        for (Host &host : m_hosts) {
            std::erase_if(host.inFlight, ended);
            std::erase_if(host.orphans, ended);
        }
    }

    void runHost(std::size_t n)
    {
        Host &host = m_hosts[n];
        if (!host.holder || host.frozen)
            return;
        for (const LeaseGrant &grant : std::exchange(host.inbox, {})) {
            m_acceptedGrants += host.holder->accept(grant, localTime(host.clock)) ? 1 : 0;
            checkLimits();
        }
        admit(host);
        if (m_now >= host.nextRequest)
            sendRequest(n);
    }

    void admit(Host &host)
    {
        const double slowest = static_cast<double>(m_timing.slotDrain.count()) / host.clock.rate;
        for (std::size_t key = 0; key < 2; ++key) {
            const BudgetUnits most = std::min(
                host.wanted.at(key), host.holder->usable(keys()[key], localTime(host.clock)));
            for (BudgetUnits it = count(host.inFlight, key); it < most; ++it) {
                const auto length = static_cast<Duration::rep>(slowest);
                const bool longest = randomBelow(2) == 0;
                const Duration::rep taken
                    = longest ? length : static_cast<Duration::rep>(randomBelow(200000));
                host.inFlight.push_back({ key, m_now + Duration(taken) });
            }
        }
    }

    void sendRequest(std::size_t n)
    {
        Host &host = m_hosts[n];
        std::vector<BudgetDemand> demands;
        for (std::size_t key = 0; key < keys().size(); ++key) {
            const BudgetUnits used = count(host.inFlight, key);
            demands.push_back({ keys()[key], used, std::max(used, host.wanted.at(key)) });
        }
        const LeaseRequest request = host.holder->request(demands, localTime(host.clock));
        for (std::size_t grantor = 0; grantor < GrantorCount; ++grantor) {
            if (grantor == m_leader || (m_networkFaulty && randomBelow(8) == 0))
                send({ {}, n, grantor, request }, host.outboundCut);
        }
        host.nextRequest = m_now + RequestInterval;
    }

    static BudgetUnits count(const std::vector<InFlight> &list, std::size_t key)
    {
        return static_cast<BudgetUnits>(std::count_if(
            list.begin(), list.end(), [key](const InFlight &it) { return it.key == key; }));
    }

    // Returns the largest limit of all versions that may still be in force on some host.
    BudgetUnits allowedUnits(std::size_t key) const
    {
        const Duration window = m_timing.maxWithDrift(m_timing.promise) * 2;
        RegisterVersion oldest = m_versions.size();
        while (oldest > 1 && m_versionTimes.at(oldest - 1) + window > m_now)
            --oldest;
        for (const Host &host : m_hosts)
            oldest = std::min(oldest, host.version);
        BudgetUnits most = 0;
        for (RegisterVersion it = oldest; it <= m_versions.size(); ++it)
            most = std::max(most, versionOf(it).limits.at(key).units);
        return most;
    }

    void checkLimits()
    {
        for (std::size_t key = 0; key < keys().size(); ++key) {
            BudgetUnits sum = 0;
            for (std::size_t n = 0; n < HostCount; ++n) {
                const Host &host = m_hosts[n];
                sum += std::max(usable(n, key), count(host.inFlight, key))
                    + count(host.orphans, key);
            }
            if (sum > allowedUnits(key) && m_violation.empty())
                m_violation = keys()[key].subject + ": " + std::to_string(sum) + " in use of "
                    + std::to_string(allowedUnits(key)) + " at "
                    + std::to_string(m_now.time_since_epoch().count()) + " us";
        }
    }

    BudgetTiming m_timing;
    std::mt19937_64 m_random;
    Instant m_now;
    bool m_networkFaulty = true;
    std::array<Host, HostCount> m_hosts;
    std::vector<BudgetLedger> m_ledgers;
    std::array<Clock, GrantorCount> m_grantorClocks;
    std::array<bool, GrantorCount> m_grantorFrozen {};
    std::array<std::vector<ReceivedRequest>, GrantorCount> m_pendingRequests;
    std::array<std::vector<ReceivedRequest>, GrantorCount> m_receivedRequests;
    std::array<std::vector<std::pair<std::size_t, LeaseGrant>>, GrantorCount> m_pendingGrants;
    std::vector<Message> m_messages;
    std::vector<Probe> m_probes;
    std::size_t m_probeCount = 0;
    std::size_t m_leader = 0;
    std::uint64_t m_term = 1;
    bool m_leaseHeld = true;
    std::uint64_t m_processes = 0;
    std::vector<BudgetLimits> m_versions;
    std::vector<Instant> m_versionTimes;
    RegisterVersion m_convergedVersion = 0;
    std::size_t m_acceptedGrants = 0;
    std::string m_violation;
};

} // namespace ggv::test
