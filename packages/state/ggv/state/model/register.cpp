#include <ggv/state/model/register.hpp>

#include <ggv/state/model/entity_key.hpp>
#include <ggv/state/model/register_rules.hpp>

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace ggv {

namespace {

template <typename Entity>
using ByName = std::unordered_map<std::string_view, const Entity *>;

template <typename Entity>
using Grouped = std::unordered_map<std::string_view, std::vector<const Entity *>>;

template <typename Entity>
ByName<Entity> indexByName(const std::vector<Entity> &entities)
{
    ByName<Entity> index;
    index.reserve(entities.size());
    for (const auto &it : entities)
        index.emplace(it.name.text(), &it);
    return index;
}

template <typename Entity, typename Member>
Grouped<Entity> groupBy(const std::vector<Entity> &entities, Member Entity::*member)
{
    Grouped<Entity> groups;
    for (const auto &it : entities)
        groups[(it.*member).text()].push_back(&it);
    return groups;
}

template <typename Entity>
const Entity *find(const ByName<Entity> &index, std::string_view name) noexcept
{
    const auto it = index.find(name);
    return it == index.end() ? nullptr : it->second;
}

template <typename Entity>
const std::vector<const Entity *> &findGroup(const Grouped<Entity> &groups,
                                             std::string_view name) noexcept
{
    static const std::vector<const Entity *> none;
    const auto it = groups.find(name);
    return it == groups.end() ? none : it->second;
}

template <typename Entity>
void sortByKey(std::vector<Entity> &entities)
{
    if (!std::is_sorted(entities.begin(), entities.end(), detail::KeyLess {}))
        std::sort(entities.begin(), entities.end(), detail::KeyLess {});
}

void sortLinks(std::vector<Link> &links)
{
    for (auto &it : links) {
        if (it.second < it.first)
            std::swap(it.first, it.second);
    }
    sortByKey(links);
}

// Brings valid content into its canonical order.
void normalize(RegisterContent &content)
{
    for (auto &it : content.claimGroups)
        sortByKey(it.voters);
    for (auto &it : content.services)
        std::sort(it.nonIdempotent.begin(), it.nonIdempotent.end());
    sortByKey(content.regions);
    sortByKey(content.domains);
    sortByKey(content.hosts);
    sortByKey(content.controlVoters);
    sortByKey(content.claimGroups);
    sortByKey(content.services);
    sortByKey(content.targets);
    sortLinks(content.links);
    sortByKey(content.clientBlocks);
    sortByKey(content.shiftCaps);
    sortByKey(content.drains);
}

std::string describe(const std::vector<ContentFault> &faults, const RegisterContent &content);

} // namespace

struct Register::Index
{
    Index(RegisterVersion number, RegisterContent valid)
        : version(number)
        , content(std::move(valid))
        , regions(indexByName(content.regions))
        , domains(indexByName(content.domains))
        , hosts(indexByName(content.hosts))
        , services(indexByName(content.services))
        , targets(indexByName(content.targets))
        , claimGroups(indexByName(content.claimGroups))
        , targetsByService(groupBy(content.targets, &Target::service))
        , hostsByDomain(groupBy(content.hosts, &EntryHost::domain))
    { }

    RegisterVersion version;
    RegisterContent content;
    ByName<Region> regions;
    ByName<FailureDomain> domains;
    ByName<EntryHost> hosts;
    ByName<Service> services;
    ByName<Target> targets;
    ByName<ClaimGroup> claimGroups;
    Grouped<Target> targetsByService;
    Grouped<EntryHost> hostsByDomain;
};

Register::Register()
    : Register(std::make_shared<const Index>(0, RegisterContent {}))
{ }

Register::Register(std::shared_ptr<const Index> index)
    : m_index(std::move(index))
{ }

Result<Register> Register::create(RegisterVersion version, RegisterContent content)
{
    const auto faults = checkContent(content);
    if (!faults.empty())
        return Error(ResultCode::RegisterInvalid, describe(faults, content));
    normalize(content);
    return Register(std::make_shared<const Index>(version, std::move(content)));
}

RegisterVersion Register::version() const noexcept { return m_index->version; }

const RegisterContent &Register::content() const noexcept { return m_index->content; }

const Region *Register::region(const RegionName &name) const noexcept
{
    return find(m_index->regions, name.text());
}

const FailureDomain *Register::domain(const FailureDomainName &name) const noexcept
{
    return find(m_index->domains, name.text());
}

const EntryHost *Register::host(const HostName &name) const noexcept
{
    return find(m_index->hosts, name.text());
}

const Service *Register::service(const ServiceName &name) const noexcept
{
    return find(m_index->services, name.text());
}

const Target *Register::target(const TargetName &name) const noexcept
{
    return find(m_index->targets, name.text());
}

const ClaimGroup *Register::claimGroup(const ClaimGroupName &name) const noexcept
{
    return find(m_index->claimGroups, name.text());
}

const Link *Register::link(const RegionName &one, const RegionName &other) const noexcept
{
    const auto wanted = std::minmax(one, other);
    const auto less = [](const Link &link, const auto &names) {
        return std::tie(link.first, link.second) < std::tie(names.first, names.second);
    };
    const auto &links = m_index->content.links;
    const auto it = std::lower_bound(links.begin(), links.end(), wanted, less);
    const bool found
        = it != links.end() && it->first == wanted.first && it->second == wanted.second;
    return found ? &*it : nullptr;
}

const ShiftCap *Register::shiftCap(const ServiceName &service, const RegionName &from,
                                   const RegionName &to) const noexcept
{
    const auto wanted = std::tie(service, from, to);
    const auto keyOf = [](const ShiftCap &cap) { return std::tie(cap.service, cap.from, cap.to); };
    const auto less
        = [&keyOf](const ShiftCap &cap, const auto &names) { return keyOf(cap) < names; };
    const auto &caps = m_index->content.shiftCaps;
    const auto it = std::lower_bound(caps.begin(), caps.end(), wanted, less);
    return it != caps.end() && keyOf(*it) == wanted ? &*it : nullptr;
}

const RegionName *Register::regionOf(const FailureDomainName &name) const noexcept
{
    const auto *found = domain(name);
    return found == nullptr ? nullptr : &found->region;
}

const std::vector<const Target *> &Register::targetsOf(const ServiceName &service) const noexcept
{
    return findGroup(m_index->targetsByService, service.text());
}

const std::vector<const EntryHost *> &
Register::hostsOf(const FailureDomainName &domain) const noexcept
{
    return findGroup(m_index->hostsByDomain, domain.text());
}

bool Register::operator==(const Register &other) const noexcept
{
    return m_index == other.m_index
        || (version() == other.version() && content() == other.content());
}

namespace {

template <typename Entity>
std::string keyAt(const std::vector<Entity> &entities, std::size_t index)
{
    return index < entities.size() ? std::string(detail::keyText(entities[index])) : std::string();
}

// Name of the kind as a register file has it, and the key of the entity at an index.
struct KindText
{
    std::string_view name;
    std::string (*key)(const RegisterContent &content, std::size_t index);
};

template <auto List>
std::string keyIn(const RegisterContent &content, std::size_t index)
{
    return keyAt(content.*List, index);
}

constexpr KindText KindTexts[] = {
    { "region", keyIn<&RegisterContent::regions> },
    { "failure_domain", keyIn<&RegisterContent::domains> },
    { "entry_host", keyIn<&RegisterContent::hosts> },
    { "control", keyIn<&RegisterContent::controlVoters> },
    { "claim_group", keyIn<&RegisterContent::claimGroups> },
    { "service", keyIn<&RegisterContent::services> },
    { "target", keyIn<&RegisterContent::targets> },
    { "link", keyIn<&RegisterContent::links> },
    { "client_block", keyIn<&RegisterContent::clientBlocks> },
    { "shift_cap", keyIn<&RegisterContent::shiftCaps> },
    { "drain", keyIn<&RegisterContent::drains> },
    { "platform", [](const RegisterContent &, std::size_t) { return std::string(); } },
};

std::string describe(const std::vector<ContentFault> &faults, const RegisterContent &content)
{
    std::string text;
    for (const auto &it : faults) {
        const auto &kind = KindTexts[static_cast<std::size_t>(it.kind)];
        if (!text.empty())
            text += '\n';
        text += kind.name;
        text += ' ' + kind.key(content, it.index);
        if (!it.field.empty())
            text += ' ' + std::string(it.field);
        text += ": " + it.message;
    }
    return text;
}

} // namespace

} // namespace ggv
