#include <ggv/state/model/register_delta.hpp>

#include <ggv/state/model/entity_key.hpp>

#include <algorithm>
#include <iterator>
#include <string_view>

namespace ggv {

namespace {

using detail::KeyLess;
using detail::keyText;

template <auto ContentMember, auto DeltaMember>
struct Kind
{
    static constexpr auto Content = ContentMember;
    static constexpr auto Delta = DeltaMember;
};

// Calls a function once for each kind with the members that hold it in content and delta.
template <typename Function>
void forEachKind(Function function)
{
    using C = RegisterContent;
    using D = RegisterDelta;
    function(Kind<&C::regions, &D::regions> {});
    function(Kind<&C::domains, &D::domains> {});
    function(Kind<&C::hosts, &D::hosts> {});
    function(Kind<&C::controlVoters, &D::controlVoters> {});
    function(Kind<&C::claimGroups, &D::claimGroups> {});
    function(Kind<&C::services, &D::services> {});
    function(Kind<&C::targets, &D::targets> {});
    function(Kind<&C::links, &D::links> {});
    function(Kind<&C::clientBlocks, &D::clientBlocks> {});
    function(Kind<&C::shiftCaps, &D::shiftCaps> {});
    function(Kind<&C::drains, &D::drains> {});
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
void sortByKey(std::vector<Entity> &entities)
{
    std::sort(entities.begin(), entities.end(), KeyLess {});
}

// Entities of the base that the delta neither removes nor replaces, merged with those it puts.
template <typename Entity>
std::vector<Entity> applyKind(const std::vector<Entity> &base, EntityDelta<Entity> delta)
{
    if (delta.put.empty() && delta.remove.empty())
        return base;
    sortByKey(delta.put);
    std::sort(delta.remove.begin(), delta.remove.end());
    std::vector<Entity> merged;
    merged.reserve(base.size() + delta.put.size());
    auto put = delta.put.begin();
    auto removed = delta.remove.begin();
    for (const auto &it : base) {
        const auto &key = keyText(it);
        while (put != delta.put.end() && KeyLess {}(*put, key))
            merged.push_back(std::move(*put++));
        while (removed != delta.remove.end() && *removed < key)
            ++removed;
        const bool replaced = put != delta.put.end() && keyText(*put) == key;
        const bool gone = removed != delta.remove.end() && *removed == key;
        if (!replaced && !gone)
            merged.push_back(it);
    }
    std::move(put, delta.put.end(), std::back_inserter(merged));
    return merged;
}

// The effect of the older delta followed by the newer one.
template <typename Entity>
void mergeKind(EntityDelta<Entity> &older, const EntityDelta<Entity> &newer)
{
    std::vector<std::string> touched = newer.remove;
    for (const auto &it : newer.put)
        touched.push_back(keyText(it));
    std::sort(touched.begin(), touched.end());
    const auto isTouched = [&touched](const auto &key) {
        return std::binary_search(touched.begin(), touched.end(), key);
    };
    std::erase_if(older.put, [&](const Entity &it) { return isTouched(keyText(it)); });
    std::erase_if(older.remove, isTouched);
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
        delta.*kind.Delta = diffKind(from.content().*kind.Content, to.content().*kind.Content);
    });
    return delta;
}

Result<Register> applyDelta(const Register &base, const RegisterDelta &delta)
{
    if (base.version() != delta.from)
        return Error(ResultCode::VersionConflict,
                     "the change starts from version " + std::to_string(delta.from)
                         + " but version " + std::to_string(base.version()) + " is in force");
    RegisterContent content;
    content.platformListUrl = delta.platformListUrl;
    forEachKind([&](auto kind) {
        content.*kind.Content = applyKind(base.content().*kind.Content, delta.*kind.Delta);
    });
    return Register::create(delta.to, std::move(content));
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
