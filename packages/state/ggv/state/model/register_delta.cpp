#include <ggv/state/model/register_delta.hpp>

#include <ggv/state/model/normal_form.hpp>
#include <ggv/state/model/register_rules.hpp>

#include <algorithm>
#include <iterator>

namespace ggv {

namespace {

using detail::KeyLess;
using detail::keyText;

template <EntityKind IdOfKind, auto ContentMember, auto DeltaMember>
struct Kind
{
    static constexpr auto Id = IdOfKind;
    static constexpr auto Content = ContentMember;
    static constexpr auto Delta = DeltaMember;
};

// Calls a function for each kind with the members for this kind in content and delta.
template <typename Function>
void forEachKind(Function function)
{
    using C = RegisterContent;
    using D = RegisterDelta;
    using K = EntityKind;
    function(Kind<K::Region, &C::regions, &D::regions> {});
    function(Kind<K::FailureDomain, &C::domains, &D::domains> {});
    function(Kind<K::EntryHost, &C::hosts, &D::hosts> {});
    function(Kind<K::ControlVoter, &C::controlVoters, &D::controlVoters> {});
    function(Kind<K::ClaimGroup, &C::claimGroups, &D::claimGroups> {});
    function(Kind<K::Service, &C::services, &D::services> {});
    function(Kind<K::Target, &C::targets, &D::targets> {});
    function(Kind<K::Link, &C::links, &D::links> {});
    function(Kind<K::ClientBlock, &C::clientBlocks, &D::clientBlocks> {});
    function(Kind<K::ShiftCap, &C::shiftCaps, &D::shiftCaps> {});
    function(Kind<K::Drain, &C::drains, &D::drains> {});
}

// Entities of kind `from` refer to entities of kind `to` by name.
struct Reference
{
    EntityKind from;
    EntityKind to;
};

constexpr Reference References[] = {
    { EntityKind::FailureDomain, EntityKind::Region },
    { EntityKind::EntryHost, EntityKind::FailureDomain },
    { EntityKind::ControlVoter, EntityKind::EntryHost },
    { EntityKind::ClaimGroup, EntityKind::EntryHost },
    { EntityKind::Service, EntityKind::ClaimGroup },
    { EntityKind::Target, EntityKind::Service },
    { EntityKind::Target, EntityKind::FailureDomain },
    { EntityKind::Link, EntityKind::Region },
    { EntityKind::ClientBlock, EntityKind::FailureDomain },
    { EntityKind::ShiftCap, EntityKind::Service },
    { EntityKind::ShiftCap, EntityKind::Region },
    { EntityKind::Drain, EntityKind::Target },
    { EntityKind::Drain, EntityKind::FailureDomain },
    { EntityKind::Drain, EntityKind::Region },
};

template <typename Entity>
bool sharesItems(const SharedVector<Entity> &one, const SharedVector<Entity> &other) noexcept
{
    return one.sharesWith(other);
}

template <typename Entity>
bool sharesItems(const std::vector<Entity> &, const std::vector<Entity> &) noexcept
{
    return false;
}

template <typename Entity>
EntityDelta<Entity> diffKind(const std::vector<Entity> &from, const std::vector<Entity> &to)
{
    EntityDelta<Entity> delta;
    auto before = from.begin();
    for (const auto &it : to) {
        while (before != from.end() && KeyLess {}(*before, it))
            delta.remove.push_back(keyText(*before++));
        const bool same = before != from.end() && !KeyLess {}(it, *before);
        if (!same || *before != it)
            delta.put.push_back(it);
        if (same)
            ++before;
    }
    for (; before != from.end(); ++before)
        delta.remove.push_back(keyText(*before));
    return delta;
}

template <typename Entity>
bool isEmpty(const EntityDelta<Entity> &delta) noexcept
{
    return delta.put.empty() && delta.remove.empty();
}

// List after applying a delta, with the positions of the entities that were added or replaced.
template <typename Entity>
struct AppliedList
{
    std::vector<Entity> entities;
    std::vector<std::size_t> changed;
};

// Merges the entities that the delta adds or replaces into those of the base that it retains.
template <typename Entity>
AppliedList<Entity> applyKind(const std::vector<Entity> &base, EntityDelta<Entity> delta)
{
    detail::normalize(delta.put);
    std::sort(delta.remove.begin(), delta.remove.end());
    AppliedList<Entity> applied;
    applied.entities.reserve(base.size() + delta.put.size());
    auto put = delta.put.begin();
    auto removed = delta.remove.begin();
    const auto appendNextPut = [&] {
        applied.changed.push_back(applied.entities.size());
        applied.entities.push_back(std::move(*put++));
    };
    for (const auto &it : base) {
        const auto &key = keyText(it);
        while (put != delta.put.end() && KeyLess {}(*put, key))
            appendNextPut();
        while (removed != delta.remove.end() && *removed < key)
            ++removed;
        const bool isReplaced = put != delta.put.end() && keyText(*put) == key;
        const bool isRemoved = removed != delta.remove.end() && *removed == key;
        if (!isReplaced && !isRemoved)
            applied.entities.push_back(it);
    }
    while (put != delta.put.end())
        appendNextPut();
    return applied;
}

template <typename Entity>
bool hasDuplicateKey(const std::vector<Entity> &entities, const std::vector<std::size_t> &positions)
{
    const auto isSameAsPrevious = [&entities](std::size_t position) {
        return position > 0 && keyText(entities[position - 1]) == keyText(entities[position]);
    };
    return std::any_of(positions.begin(), positions.end(), isSameAsPrevious);
}

// Extends the scope by the kinds whose entities may violate a rule because an entity of another
// kind changed.
void includeReferences(const RegisterDelta &delta, ContentScope &scope)
{
    forEachKind([&](auto kind) {
        const auto &changes = delta.*kind.Delta;
        const bool isHost = kind.Id == EntityKind::EntryHost;
        // A changed host may have lost its disk, which voters need.
        const bool affectsOthers = !changes.remove.empty() || (isHost && !changes.put.empty());
        if (!affectsOthers)
            return;
        for (const auto &it : References) {
            if (it.to == kind.Id)
                scope.includeAll(it.from);
        }
    });
    // Endpoints must be unique among all entities of these kinds.
    if (!delta.hosts.put.empty())
        scope.includeAll(EntityKind::EntryHost);
    if (!delta.targets.put.empty())
        scope.includeAll(EntityKind::Target);
}

template <typename Entity>
void sortByKey(std::vector<Entity> &entities)
{
    std::sort(entities.begin(), entities.end(), KeyLess {});
}

// Merges the newer delta into the older one.
template <typename Entity>
void mergeKind(EntityDelta<Entity> &older, const EntityDelta<Entity> &newer)
{
    if (isEmpty(newer))
        return;
    std::vector<std::string> newerKeys = newer.remove;
    for (const auto &it : newer.put)
        newerKeys.push_back(keyText(it));
    std::sort(newerKeys.begin(), newerKeys.end());
    const auto isInNewer = [&newerKeys](const auto &key) {
        return std::binary_search(newerKeys.begin(), newerKeys.end(), key);
    };
    std::erase_if(older.put, [&](const Entity &it) { return isInNewer(keyText(it)); });
    std::erase_if(older.remove, isInNewer);
    older.put.insert(older.put.end(), newer.put.begin(), newer.put.end());
    older.remove.insert(older.remove.end(), newer.remove.begin(), newer.remove.end());
    sortByKey(older.put);
    std::sort(older.remove.begin(), older.remove.end());
}

} // namespace

RegisterDelta diffRegisters(const Register &from, const Register &to)
{
    RegisterDelta delta;
    delta.from = from.version();
    delta.to = to.version();
    delta.platformListUrl = to.content().platformListUrl;
    forEachKind([&](auto kind) {
        const auto &before = from.content().*kind.Content;
        const auto &after = to.content().*kind.Content;
        using Entity = typename std::remove_cvref_t<decltype(before)>::value_type;
        if (!sharesItems(before, after))
            delta.*kind.Delta = diffKind<Entity>(before, after);
    });
    return delta;
}

Result<Register> applyDelta(const Register &base, const RegisterDelta &delta)
{
    if (base.version() != delta.from)
        return Error(ResultCode::VersionConflict,
                     "the change starts from version " + std::to_string(delta.from)
                         + " but version " + std::to_string(base.version()) + " is in force");
    RegisterContent content = base.content();
    content.platformListUrl = delta.platformListUrl;
    ContentScope scope;
    forEachKind([&](auto kind) {
        const auto &changes = delta.*kind.Delta;
        const auto &before = base.content().*kind.Content;
        using Entity = typename std::remove_cvref_t<decltype(before)>::value_type;
        scope.limit(kind.Id, {});
        if (isEmpty(changes))
            return;
        auto applied = applyKind<Entity>(before, changes);
        const bool isAmbiguous = hasDuplicateKey(applied.entities, applied.changed);
        scope.limit(kind.Id, std::move(applied.changed));
        if (isAmbiguous)
            scope.includeAll(kind.Id);
        content.*kind.Content = std::move(applied.entities);
    });
    includeReferences(delta, scope);
    return Register::derive(base, delta.to, std::move(content), scope);
}

RegisterDelta mergeDeltas(const std::vector<RegisterDelta> &deltas)
{
    RegisterDelta merged = deltas.front();
    for (auto it = std::next(deltas.begin()); it != deltas.end(); ++it) {
        merged.to = it->to;
        merged.platformListUrl = it->platformListUrl;
        forEachKind([&](auto kind) { mergeKind(merged.*kind.Delta, (*it).*kind.Delta); });
    }
    return merged;
}

} // namespace ggv
