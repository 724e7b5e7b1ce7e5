#include <ggv/state/model/register.hpp>

#include <ggv/state/model/normal_form.hpp>
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

// Index of the entities of one kind; shared by registers with the same list.
template <typename Entity>
struct KindIndex
{
    SharedVector<Entity> entities; // Owns the entities that the pointers refer to.
    ByName<Entity> byName;
    Grouped<Entity> groups;
};

template <typename Entity>
using SharedIndex = std::shared_ptr<const KindIndex<Entity>>;

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

template <typename Entity, typename Member = RegionName>
SharedIndex<Entity> makeIndex(const SharedVector<Entity> &entities, const SharedIndex<Entity> &base,
                              Member Entity::*groupMember = nullptr)
{
    if (base && base->entities.sharesWith(entities))
        return base;
    auto index = std::make_shared<KindIndex<Entity>>();
    index->entities = entities;
    index->byName = indexByName<Entity>(entities);
    if (groupMember != nullptr)
        index->groups = groupBy<Entity>(entities, groupMember);
    return index;
}

template <typename Entity>
const Entity *find(const SharedIndex<Entity> &index, const std::string &name) noexcept
{
    const auto it = index->byName.find(name);
    return it == index->byName.end() ? nullptr : it->second;
}

template <typename Entity>
const std::vector<const Entity *> &findGroup(const SharedIndex<Entity> &index,
                                             const std::string &name) noexcept
{
    static const std::vector<const Entity *> none;
    const auto it = index->groups.find(name);
    return it == index->groups.end() ? none : it->second;
}

template <typename Entity>
void normalizeList(SharedVector<Entity> &entities)
{
    if (!detail::isNormalized(entities.items()))
        detail::normalize(entities.edit());
}

void normalizeContent(RegisterContent &content)
{
    detail::normalize(content.controlVoters);
    normalizeList(content.regions);
    normalizeList(content.domains);
    normalizeList(content.hosts);
    normalizeList(content.claimGroups);
    normalizeList(content.services);
    normalizeList(content.targets);
    normalizeList(content.links);
    normalizeList(content.clientBlocks);
    normalizeList(content.shiftCaps);
    normalizeList(content.drains);
}

std::string describe(const std::vector<ContentFault> &faults, const RegisterContent &content);

} // namespace

struct Register::Index
{
    Index(RegisterVersion number, RegisterContent valid, const Index &base)
        : version(number)
        , content(std::move(valid))
        , regions(makeIndex(content.regions, base.regions))
        , domains(makeIndex(content.domains, base.domains))
        , hosts(makeIndex(content.hosts, base.hosts, &EntryHost::domain))
        , services(makeIndex(content.services, base.services))
        , targets(makeIndex(content.targets, base.targets, &Target::service))
        , claimGroups(makeIndex(content.claimGroups, base.claimGroups))
    { }

    Index() = default;

    // Returns the index of the empty register.
    static const std::shared_ptr<const Index> &empty()
    {
        static const auto index = std::make_shared<const Index>(0, RegisterContent {}, Index {});
        return index;
    }

    RegisterVersion version = 0;
    RegisterContent content;
    SharedIndex<Region> regions;
    SharedIndex<FailureDomain> domains;
    SharedIndex<EntryHost> hosts;
    SharedIndex<Service> services;
    SharedIndex<Target> targets;
    SharedIndex<ClaimGroup> claimGroups;
};

Register::Register()
    : Register(Index::empty())
{ }

Register::Register(std::shared_ptr<const Index> index)
    : m_index(std::move(index))
{ }

Result<Register> Register::create(RegisterVersion version, RegisterContent content)
{
    const auto faults = checkContent(content);
    if (!faults.empty())
        return Error(ResultCode::RegisterInvalid, describe(faults, content));
    normalizeContent(content);
    return Register(std::make_shared<const Index>(version, std::move(content), *Index::empty()));
}

Result<Register> Register::derive(const Register &base, RegisterVersion version,
                                  RegisterContent content, const ContentScope &scope)
{
    const auto faults = checkContent(content, scope);
    if (!faults.empty())
        return Error(ResultCode::RegisterInvalid, describe(faults, content));
    return Register(std::make_shared<const Index>(version, std::move(content), *base.m_index));
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
    return findGroup(m_index->targets, service.text());
}

const std::vector<const EntryHost *> &
Register::hostsOf(const FailureDomainName &domain) const noexcept
{
    return findGroup(m_index->hosts, domain.text());
}

bool Register::operator==(const Register &other) const noexcept
{
    return m_index == other.m_index
        || (version() == other.version() && content() == other.content());
}

namespace {

// Name of a kind in a register file, and a function that returns the key of the entity at an index.
struct KindDescriptor
{
    std::string_view name;
    std::string (*key)(const RegisterContent &content, std::size_t index);
};

template <auto List>
std::string keyAt(const RegisterContent &content, std::size_t index)
{
    const auto &list = content.*List;
    return index < list.size() ? std::string(detail::keyText(list[index])) : std::string();
}

constexpr KindDescriptor KindDescriptors[] = {
    { "region", keyAt<&RegisterContent::regions> },
    { "failure_domain", keyAt<&RegisterContent::domains> },
    { "entry_host", keyAt<&RegisterContent::hosts> },
    { "control", keyAt<&RegisterContent::controlVoters> },
    { "claim_group", keyAt<&RegisterContent::claimGroups> },
    { "service", keyAt<&RegisterContent::services> },
    { "target", keyAt<&RegisterContent::targets> },
    { "link", keyAt<&RegisterContent::links> },
    { "client_block", keyAt<&RegisterContent::clientBlocks> },
    { "shift_cap", keyAt<&RegisterContent::shiftCaps> },
    { "drain", keyAt<&RegisterContent::drains> },
    { "platform", [](const RegisterContent &, std::size_t) { return std::string(); } },
};

std::string describe(const std::vector<ContentFault> &faults, const RegisterContent &content)
{
    std::string text;
    for (const auto &it : faults) {
        const auto &kind = KindDescriptors[static_cast<std::size_t>(it.kind)];
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
