#include <ggv/state/steering/lookup_table.hpp>

#include <ggv/state/steering/client_block_index.hpp>
#include <ggv/state/steering/drain_schedule.hpp>

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

namespace ggv {

namespace {

using DomainPosition = std::uint32_t;

constexpr unsigned RandomBits = 32;
constexpr std::uint64_t FullScale = std::uint64_t { 1 } << RandomBits;

// Entry hosts of a failure domain that may appear in answers.
struct DomainHosts
{
    std::vector<const EntryHost *> live;
    double remaining = 1.0; //!< Share of the domain that is not drained.
    double sufficiency = 0.0; //!< Share of the domain's clients that its live hosts can serve.

    [[nodiscard]] bool usable() const noexcept { return !live.empty() && remaining > 0; }
};

// Discrete distribution over domains, scaled to FullScale.
class Distribution
{
public:
    void add(DomainPosition domain, double weight)
    {
        if (weight <= 0)
            return;
        m_sum += weight;
        m_entries.push_back({ domain, m_sum });
    }

    [[nodiscard]] double sum() const noexcept { return m_sum; }
    [[nodiscard]] bool empty() const noexcept { return m_entries.empty(); }

    // Returns the domain at a point from 0 to FullScale.
    [[nodiscard]] DomainPosition at(std::uint64_t point) const noexcept
    {
        const auto position = m_sum * static_cast<double>(point) / static_cast<double>(FullScale);
        const auto above = [](double value, const Entry &entry) { return value < entry.end; };
        const auto it = std::upper_bound(m_entries.begin(), m_entries.end(), position, above);
        return it == m_entries.end() ? m_entries.back().domain : it->domain;
    }

private:
    struct Entry
    {
        DomainPosition domain;
        double end;
    };

    std::vector<Entry> m_entries;
    double m_sum = 0;
};

// Distributions for the clients of one nearest domain.
struct Plan
{
    Distribution preferred; //!< Domains of the preferred hosts.
    Distribution survivors; //!< All usable domains except the nearest.
    std::vector<DomainPosition> byDelay; //!< Usable domains, nearest first.
};

double remainingShare(const FailureDomain &domain, const std::vector<Drain> &drains, UnixMillis now)
{
    double remaining = 1.0;
    for (const auto &it : drains) {
        const bool ofDomain
            = it.scope == DrainScope::FailureDomain && it.name == domain.name.text();
        const bool ofRegion = it.scope == DrainScope::Region && it.name == domain.region.text();
        if (ofDomain || ofRegion)
            remaining = std::min(remaining, drainWeight({ it.startsAt, it.emptyAt }, now));
    }
    return remaining;
}

double delayWeight(Duration delay) noexcept
{
    const auto half = static_cast<double>(HalfWeightDelay.count());
    return half / (half + static_cast<double>(delay.count()));
}

// Selects hosts for one answer; successive picks from a domain return successive hosts.
class Picker
{
public:
    Picker(const std::vector<DomainHosts> &domains, std::uint64_t random, LookupAnswer &answer)
        : m_domains(domains)
        , m_random(random)
        , m_answer(answer)
    { }

    // Draws at evenly spaced points; each draw on its own follows the distribution.
    void draw(const Distribution &distribution, std::size_t count, std::uint32_t weight) noexcept
    {
        if (distribution.empty())
            return;
        const auto offset = m_random & (FullScale - 1);
        for (std::size_t i = 0; i < count && !m_answer.full(); ++i) {
            const auto point = (offset + i * FullScale / count) % FullScale;
            pick(distribution.at(point), weight);
        }
    }

    // Appends a host of the domain that is not listed yet; returns false if there is none.
    bool pick(DomainPosition domain, std::uint32_t weight) noexcept
    {
        const auto &hosts = m_domains[domain].live;
        const auto first = (m_random >> RandomBits) * hosts.size() >> RandomBits;
        const auto tries = std::min(hosts.size(), MaximumLookupHosts);
        for (std::size_t i = 0; i < tries && !m_answer.full(); ++i) {
            if (m_answer.append(hosts[(first + i) % hosts.size()], weight))
                return true;
        }
        return false;
    }

private:
    const std::vector<DomainHosts> &m_domains;
    std::uint64_t m_random;
    LookupAnswer &m_answer;
};

} // namespace

bool LookupAnswer::append(const EntryHost *host, std::uint32_t weight) noexcept
{
    const auto isHost = [host](const LookupHost &it) { return it.host == host; };
    if (full() || std::any_of(m_hosts.begin(), m_hosts.begin() + m_size, isHost))
        return false;
    m_hosts[m_size] = { host, weight };
    ++m_size;
    return true;
}

class LookupTable::Data
{
public:
    Data(const Register &current, const LookupContext &context,
         std::shared_ptr<const ClientBlockIndex> blocks)
        : m_register(current)
        , m_blocks(std::move(blocks))
    {
        collectHosts(context);
        computeDelays();
        const auto &domains = current.content().domains;
        m_plans.reserve(domains.size() + 1);
        for (DomainPosition i = 0; i < domains.size(); ++i)
            m_plans.push_back(planFor(i));
        m_plans.push_back(planForUnknownClients());
        mapNearestDomains(context.defaultDomain);
    }

    [[nodiscard]] Result<LookupAnswer> lookUp(const LookupQuery &query) const
    {
        if (m_register.service(query.service) == nullptr)
            return Error(ResultCode::NoSuchService, "no service " + query.service.text());
        const auto &plan = m_plans[planIndex(query.client)];
        LookupAnswer answer;
        Picker picker(m_domains, query.random, answer);
        picker.draw(plan.preferred, MaximumPreferredHosts, PreferredWeight);
        picker.draw(plan.survivors, MaximumLookupHosts - MaximumPreferredHosts, 0);
        fill(plan, picker, answer);
        if (answer.hosts().empty())
            return Error(ResultCode::NoWorkingTarget, "no entry host is available");
        return answer;
    }

    [[nodiscard]] const Register &current() const noexcept { return m_register; }
    [[nodiscard]] const auto &blocks() const noexcept { return m_blocks; }

private:
    // Appends hosts that were not drawn, nearest first, until the answer is full.
    static void fill(const Plan &plan, Picker &picker, LookupAnswer &answer) noexcept
    {
        bool added = true;
        while (added && !answer.full()) {
            added = false;
            for (const auto it : plan.byDelay)
                added = picker.pick(it, 0) || added;
        }
    }

    [[nodiscard]] std::size_t planIndex(const std::optional<IpAddress> &client) const noexcept
    {
        const auto nearest = client ? m_blocks->find(*client) : std::nullopt;
        return nearest ? m_planByNearest[*nearest] : m_defaultPlan;
    }

    void collectHosts(const LookupContext &context)
    {
        std::unordered_set<std::string_view> unavailable;
        for (const auto &it : context.unavailable)
            unavailable.insert(it.text());
        const auto &content = m_register.content();
        for (const auto &it : content.domains) {
            const auto &hosts = m_register.hostsOf(it.name);
            DomainHosts collected;
            for (const auto *host : hosts) {
                if (!host->leaving && !unavailable.contains(host->name.text()))
                    collected.live.push_back(host);
            }
            collected.remaining = remainingShare(it, content.drains, context.now);
            const auto sufficient = SufficientLiveShare * static_cast<double>(hosts.size());
            const auto live = static_cast<double>(collected.live.size());
            collected.sufficiency = hosts.empty() ? 0.0 : std::min(1.0, live / sufficient);
            m_domains.push_back(std::move(collected));
        }
    }

    // Computes the link delays between all pairs of domains.
    void computeDelays()
    {
        const auto &domains = m_register.content().domains;
        m_delays.reserve(domains.size() * domains.size());
        for (const auto &from : domains) {
            for (const auto &to : domains)
                m_delays.push_back(delayBetween(from.region, to.region));
        }
    }

    [[nodiscard]] Duration delayBetween(const RegionName &from, const RegionName &to) const
    {
        constexpr Duration WithoutLink = std::chrono::seconds(1);
        if (from == to)
            return Duration(0);
        const auto *link = m_register.link(from, to);
        return link == nullptr ? WithoutLink : link->oneWayDelay;
    }

    [[nodiscard]] Duration delay(DomainPosition from, DomainPosition to) const noexcept
    {
        return m_delays[from * m_domains.size() + to];
    }

    [[nodiscard]] Plan planFor(DomainPosition nearest) const
    {
        Plan plan;
        for (DomainPosition i = 0; i < m_domains.size(); ++i) {
            const auto &domain = m_domains[i];
            if (!domain.usable())
                continue;
            plan.byDelay.push_back(i);
            if (i != nearest)
                plan.survivors.add(i, survivorWeight(domain, delay(nearest, i)));
        }
        const auto isCloser = [&](DomainPosition one, DomainPosition other) {
            return std::tuple(delay(nearest, one), one != nearest)
                < std::tuple(delay(nearest, other), other != nearest);
        };
        std::stable_sort(plan.byDelay.begin(), plan.byDelay.end(), isCloser);
        plan.preferred = preferredOf(nearest, plan.survivors);
        return plan;
    }

    // Assigns to the nearest domain the share that it can serve and distributes the rest over the
    // other usable domains.
    [[nodiscard]] Distribution preferredOf(DomainPosition nearest,
                                           const Distribution &survivors) const
    {
        const auto &own = m_domains[nearest];
        const auto retained = own.usable() ? own.remaining * own.sufficiency : 0.0;
        if (retained <= 0)
            return survivors;
        Distribution preferred;
        preferred.add(nearest, retained);
        if (retained >= 1 || survivors.empty())
            return preferred;
        for (DomainPosition i = 0; i < m_domains.size(); ++i) {
            const auto &domain = m_domains[i];
            if (i != nearest && domain.usable())
                preferred.add(i,
                              (1 - retained) * survivorWeight(domain, delay(nearest, i))
                                  / survivors.sum());
        }
        return preferred;
    }

    [[nodiscard]] static double survivorWeight(const DomainHosts &domain, Duration delay) noexcept
    {
        return static_cast<double>(domain.live.size()) * domain.remaining * delayWeight(delay);
    }

    // Plan for clients without a known nearest domain: all domains, weighted by live hosts.
    [[nodiscard]] Plan planForUnknownClients() const
    {
        Plan plan;
        for (DomainPosition i = 0; i < m_domains.size(); ++i) {
            if (!m_domains[i].usable())
                continue;
            plan.byDelay.push_back(i);
            plan.preferred.add(i, survivorWeight(m_domains[i], Duration(0)));
        }
        return plan;
    }

    void mapNearestDomains(const FailureDomainName &defaultDomain)
    {
        const auto &domains = m_register.content().domains;
        const auto unknown = domains.size();
        std::unordered_map<std::string_view, std::size_t> positions;
        for (std::size_t i = 0; i < domains.size(); ++i)
            positions.emplace(domains[i].name.text(), i);
        const auto positionOf = [&](const FailureDomainName &name) {
            const auto it = positions.find(name.text());
            return it == positions.end() ? unknown : it->second;
        };
        for (const auto &it : m_blocks->nearestDomains())
            m_planByNearest.push_back(positionOf(it));
        m_defaultPlan = positionOf(defaultDomain);
    }

    Register m_register;
    std::shared_ptr<const ClientBlockIndex> m_blocks;
    std::vector<DomainHosts> m_domains;
    std::vector<Duration> m_delays;
    std::vector<Plan> m_plans;
    std::vector<std::size_t> m_planByNearest;
    std::size_t m_defaultPlan = 0;
};

LookupTable::LookupTable(std::shared_ptr<const Data> data)
    : m_data(std::move(data))
{ }

LookupTable LookupTable::create(const Register &current, const LookupContext &context,
                                const LookupTable *previous)
{
    const auto &blocks = current.content().clientBlocks;
    const bool unchanged
        = previous != nullptr && previous->m_data->current().content().clientBlocks == blocks;
    auto index = unchanged
        ? previous->m_data->blocks()
        : std::make_shared<const ClientBlockIndex>(ClientBlockIndex::build(blocks));
    return LookupTable(std::make_shared<const Data>(current, context, std::move(index)));
}

Result<LookupAnswer> LookupTable::lookUp(const LookupQuery &query) const
{
    return m_data->lookUp(query);
}

bool LookupTable::sharesBlocksWith(const LookupTable &other) const noexcept
{
    return m_data->blocks() == other.m_data->blocks();
}

std::size_t LookupTable::blockIndexBytes() const noexcept
{
    return m_data->blocks()->memoryBytes();
}

} // namespace ggv
