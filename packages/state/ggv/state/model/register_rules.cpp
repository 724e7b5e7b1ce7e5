#include <ggv/state/model/register_rules.hpp>

#include <ggv/state/model/entity_key.hpp>
#include <ggv/state/model/ip_address.hpp>

#include <algorithm>
#include <cctype>
#include <limits>
#include <unordered_map>
#include <unordered_set>

namespace ggv {

namespace {

constexpr UnixMillis LatestInstant = 253'402'300'799'999; //!< End of the year 9999.
//! Largest integer in TOML.
constexpr std::uint64_t MaximumIncarnation = std::numeric_limits<std::int64_t>::max();
constexpr std::size_t MaximumPathLength = 1024;
constexpr std::size_t MaximumMethodLength = 32;

using NameSet = std::unordered_set<std::string_view>;

bool isNameCharacter(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '.' || c == '_';
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= MaximumNameLength
        && std::isalnum(static_cast<unsigned char>(text.front())) != 0
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isPath(std::string_view text)
{
    const auto isPrintable = [](char c) { return c > ' ' && c < '\x7f'; };
    return !text.empty() && text.front() == '/' && text.size() <= MaximumPathLength
        && std::all_of(text.begin(), text.end(), isPrintable);
}

bool isMethod(std::string_view text)
{
    const auto isUpper = [](char c) { return c >= 'A' && c <= 'Z'; };
    return !text.empty() && text.size() <= MaximumMethodLength
        && std::all_of(text.begin(), text.end(), isUpper);
}

std::string quoted(std::string_view text) { return '"' + std::string(text) + '"'; }

// Returns true if the list is sorted by key without duplicates, as valid content in normal form is.
template <typename Entity>
bool isStrictlySorted(const std::vector<Entity> &entities)
{
    const auto isNotBefore
        = [](const Entity &one, const Entity &other) { return !detail::KeyLess {}(one, other); };
    return std::adjacent_find(entities.begin(), entities.end(), isNotBefore) == entities.end();
}

template <typename Entity>
NameSet namesOf(const SharedVector<Entity> &entities)
{
    NameSet names;
    names.reserve(entities.size());
    for (const auto &it : entities)
        names.insert(it.name.text());
    return names;
}

// Validates the content of a register; checkEntity() is overloaded for each kind of entity.
class ContentChecker
{
public:
    ContentChecker(const RegisterContent &content, const ContentScope &scope)
        : m_content(content)
        , m_scope(scope)
        , m_regions(namesOf(content.regions))
        , m_domains(namesOf(content.domains))
        , m_claimGroups(namesOf(content.claimGroups))
        , m_services(namesOf(content.services))
        , m_targets(namesOf(content.targets))
    {
        for (const auto &it : content.hosts)
            m_hosts.emplace(it.name.text(), &it);
    }

    std::vector<ContentFault> check()
    {
        checkKind<Region>(EntityKind::Region, m_content.regions);
        checkKind<FailureDomain>(EntityKind::FailureDomain, m_content.domains);
        checkKind<EntryHost>(EntityKind::EntryHost, m_content.hosts);
        checkKind<HostName>(EntityKind::ControlVoter, m_content.controlVoters);
        checkVoterCount(EntityKind::ControlVoter, m_content.controlVoters);
        checkKind<ClaimGroup>(EntityKind::ClaimGroup, m_content.claimGroups);
        checkKind<Service>(EntityKind::Service, m_content.services);
        checkKind<Target>(EntityKind::Target, m_content.targets);
        checkKind<Link>(EntityKind::Link, m_content.links);
        checkKind<ClientBlock>(EntityKind::ClientBlock, m_content.clientBlocks);
        checkKind<ShiftCap>(EntityKind::ShiftCap, m_content.shiftCaps);
        checkKind<Drain>(EntityKind::Drain, m_content.drains);
        checkPlatform();
        return std::move(m_faults);
    }

private:
    template <typename Entity>
    void checkKind(EntityKind kind, const std::vector<Entity> &entities)
    {
        m_kind = kind;
        m_endpoints.clear();
        if (const auto &positions = m_scope.positions(kind))
            checkSelected(entities, *positions);
        else
            checkAll(entities);
    }

    template <typename Entity>
    void checkSelected(const std::vector<Entity> &entities,
                       const std::vector<std::size_t> &positions)
    {
        for (const auto it : positions) {
            m_index = it;
            checkEntity(entities[it]);
        }
    }

    template <typename Entity>
    void checkAll(const std::vector<Entity> &entities)
    {
        for (m_index = 0; m_index < entities.size(); ++m_index)
            checkEntity(entities[m_index]);
        if (!isStrictlySorted(entities))
            checkKeys(entities);
    }

    template <typename Entity>
    void checkKeys(const std::vector<Entity> &entities)
    {
        std::unordered_set<std::string> keys;
        keys.reserve(entities.size());
        for (m_index = 0; m_index < entities.size(); ++m_index) {
            const std::string key = detail::keyText(entities[m_index]);
            if (!keys.insert(key).second)
                addFault({}, quoted(key) + " is given twice");
        }
    }

    void checkEntity(const Region &region) { checkName(region.name.text()); }

    void checkEntity(const FailureDomain &domain)
    {
        checkName(domain.name.text());
        checkReference("region", domain.region.text(), m_regions);
    }

    void checkEntity(const EntryHost &host)
    {
        checkName(host.name.text());
        checkReference("domain", host.domain.text(), m_domains);
        checkEndpoint("callers", host.callers, {});
        checkEndpoint("operators", host.operators, {});
        checkEndpoint("internal", host.internal, {});
        checkRange<std::uint64_t>("incarnation", host.incarnation, 0, MaximumIncarnation);
    }

    void checkEntity(const HostName &voter) { checkVoter(voter); }

    void checkEntity(const ClaimGroup &group)
    {
        checkName(group.name.text());
        std::unordered_set<std::string_view> seen;
        for (const auto &it : group.voters) {
            checkVoter(it);
            if (!seen.insert(it.text()).second)
                addFault("voters", quoted(it.text()) + " is given twice");
        }
        if (group.voters.empty())
            addFault("voters", "a claim group needs a voter");
        checkVoterCount(EntityKind::ClaimGroup, group.voters);
    }

    void checkEntity(const Service &service)
    {
        checkName(service.name.text());
        if (service.claimGroup)
            checkReference("claim_group", service.claimGroup->text(), m_claimGroups);
        else if (!service.nonIdempotent.empty())
            addFault("non_idempotent", "a service with non-idempotent routes needs a claim_group");
        for (const auto &it : service.nonIdempotent)
            checkRoute(it);
        checkDuration("default_deadline_ms", service.defaultDeadline, Duration(1), MaximumDeadline);
        checkRange<std::uint64_t>("max_body_bytes", service.maxBodyBytes, 0, MaximumBodyBytes);
        checkRange<std::uint64_t>("typical_exchange_bytes", service.typicalExchangeBytes, 1,
                                  MaximumBodyBytes);
        if (!service.probePath.empty() && !isPath(service.probePath))
            addFault("probe_path", quoted(service.probePath) + " is not a path that starts with /");
    }

    void checkEntity(const Target &target)
    {
        checkName(target.name.text());
        checkReference("service", target.service.text(), m_services);
        checkReference("domain", target.domain.text(), m_domains);
        checkEndpoint("endpoint", target.endpoint, target.service.text());
        checkRange<std::uint32_t>("slots", target.slots, 1, MaximumCount);
        checkRange<std::uint32_t>("connections", target.connections, 1, MaximumCount);
    }

    void checkEntity(const Link &link)
    {
        checkReference("between", link.first.text(), m_regions);
        checkReference("between", link.second.text(), m_regions);
        if (link.first == link.second)
            addFault("between", "a link needs two different regions");
        checkRange<std::uint32_t>("mbit_per_second", link.megabitsPerSecond, 1, MaximumCount);
        checkDuration("one_way_delay_ms", link.oneWayDelay, Duration(0), MaximumLinkDelay);
    }

    void checkEntity(const ClientBlock &block)
    {
        checkReference("nearest", block.nearest.text(), m_domains);
        const auto prefix = IpPrefix::parse(block.prefix);
        if (!prefix)
            addFault("prefix", quoted(block.prefix) + " is not CIDR notation");
        else if (prefix->text() != block.prefix)
            addFault("prefix", quoted(block.prefix) + " must be written " + quoted(prefix->text()));
    }

    void checkEntity(const ShiftCap &cap)
    {
        checkReference("service", cap.service.text(), m_services);
        checkReference("from", cap.from.text(), m_regions);
        checkReference("to", cap.to.text(), m_regions);
        if (cap.from == cap.to)
            addFault("to", "a cap needs two different regions");
        checkRange<std::uint32_t>("requests_per_second", cap.requestsPerSecond, 0, MaximumCount);
    }

    void checkEntity(const Drain &drain)
    {
        checkReference(detail::drainScopeName(drain.scope), drain.name, subjectsOf(drain.scope));
        checkInstant("starts_at", drain.startsAt);
        checkInstant("empty_at", drain.emptyAt);
        if (drain.emptyAt < drain.startsAt)
            addFault("empty_at", "a drain cannot be empty before it starts");
    }

    [[nodiscard]] const NameSet &subjectsOf(DrainScope scope) const
    {
        if (scope == DrainScope::Target)
            return m_targets;
        return scope == DrainScope::Region ? m_regions : m_domains;
    }

    void checkPlatform()
    {
        m_kind = EntityKind::Platform;
        m_index = 0;
        const std::string_view url = m_content.platformListUrl;
        if (!url.empty() && !url.starts_with("http://"))
            addFault("list_url", quoted(url) + " is not an http:// URL");
    }

    void checkRoute(const NonIdempotentRoute &route)
    {
        if (!isMethod(route.method))
            addFault("non_idempotent", quoted(route.method) + " is not an upper-case HTTP method");
        if (!isPath(route.pathPrefix))
            addFault("non_idempotent",
                     quoted(route.pathPrefix) + " is not a path that starts with /");
    }

    void checkVoter(const HostName &voter)
    {
        const auto host = m_hosts.find(voter.text());
        if (host == m_hosts.end())
            addFault("voters", "no entry host is named " + quoted(voter.text()));
        else if (!host->second->hasDisk)
            addFault("voters", quoted(voter.text()) + " has no disk and cannot be a voter");
    }

    void checkVoterCount(EntityKind kind, const std::vector<HostName> &voters)
    {
        if (voters.size() <= MaximumVoters)
            return;
        m_kind = kind;
        addFault("voters", "a quorum has at most " + std::to_string(MaximumVoters) + " voters");
    }

    void checkName(std::string_view name)
    {
        if (!isName(name))
            addFault("name",
                     quoted(name) + " is not a name of 1 to " + std::to_string(MaximumNameLength)
                         + " letters, digits, '-', '.' or '_' that starts with a letter or digit");
    }

    void checkReference(std::string_view field, std::string_view name, const NameSet &names)
    {
        if (!names.contains(name))
            addFault(field, quoted(name) + " is not in the register");
    }

    // Endpoints must be unique among the entities of one kind and scope.
    void checkEndpoint(std::string_view field, const Endpoint &endpoint, std::string_view scope)
    {
        if (endpoint.port == 0 || !IpAddress::parse(endpoint.address)) {
            addFault(field, "needs an IP address and a port from 1 to 65535");
            return;
        }
        auto key = endpoint.address + ' ' + std::to_string(endpoint.port) + ' ';
        key += scope;
        if (!m_endpoints.insert(std::move(key)).second)
            addFault(field,
                     endpoint.address + " port " + std::to_string(endpoint.port)
                         + " is given twice");
    }

    template <typename Value>
    void checkRange(std::string_view field, Value value, Value low, Value high)
    {
        if (value < low || value > high)
            addFault(field, "must be from " + std::to_string(low) + " to " + std::to_string(high));
    }

    void checkDuration(std::string_view field, Duration value, Duration low, Duration high)
    {
        if (value >= low && value <= high)
            return;
        const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(high).count();
        const auto *bound = low.count() > 0 ? "above 0" : "from 0";
        addFault(field, std::string("must be ") + bound + " up to " + std::to_string(limit));
    }

    void checkInstant(std::string_view field, UnixMillis instant)
    {
        if (instant < 0 || instant > LatestInstant)
            addFault(field, "must be between the years 1970 and 9999");
    }

    void addFault(std::string_view field, std::string message)
    {
        m_faults.push_back({ m_kind, m_index, field, std::move(message) });
    }

    const RegisterContent &m_content;
    const ContentScope &m_scope;
    const NameSet m_regions;
    const NameSet m_domains;
    const NameSet m_claimGroups;
    const NameSet m_services;
    const NameSet m_targets;
    std::unordered_map<std::string_view, const EntryHost *> m_hosts;
    std::unordered_set<std::string> m_endpoints;
    EntityKind m_kind = EntityKind::Region;
    std::size_t m_index = 0;
    std::vector<ContentFault> m_faults;
};

} // namespace

void ContentScope::limit(EntityKind kind, std::vector<std::size_t> positions)
{
    m_positions[static_cast<std::size_t>(kind)] = std::move(positions);
}

void ContentScope::includeAll(EntityKind kind) noexcept
{
    m_positions[static_cast<std::size_t>(kind)].reset();
}

const std::optional<std::vector<std::size_t>> &
ContentScope::positions(EntityKind kind) const noexcept
{
    return m_positions[static_cast<std::size_t>(kind)];
}

std::vector<ContentFault> checkContent(const RegisterContent &content, const ContentScope &scope)
{
    return ContentChecker(content, scope).check();
}

} // namespace ggv
