#pragma once

#include <ggv/state/model/entity_key.hpp>

#include <algorithm>
#include <utility>
#include <vector>

//! Sorts entities so that equal content compares equal.
namespace ggv::detail {

template <typename Entity>
void normalize(Entity &) noexcept
{ }

inline void normalize(ClaimGroup &group) { std::sort(group.voters.begin(), group.voters.end()); }

inline void normalize(Service &service)
{
    std::sort(service.nonIdempotent.begin(), service.nonIdempotent.end());
}

inline void normalize(Link &link) noexcept
{
    if (link.second < link.first)
        std::swap(link.first, link.second);
}

template <typename Entity>
void normalize(std::vector<Entity> &entities)
{
    for (auto &it : entities)
        normalize(it);
    if (!std::is_sorted(entities.begin(), entities.end(), KeyLess {}))
        std::sort(entities.begin(), entities.end(), KeyLess {});
}

template <typename Entity>
[[nodiscard]] bool isNormalized(const Entity &) noexcept
{
    return true;
}

[[nodiscard]] inline bool isNormalized(const ClaimGroup &group) noexcept
{
    return std::is_sorted(group.voters.begin(), group.voters.end());
}

[[nodiscard]] inline bool isNormalized(const Service &service) noexcept
{
    return std::is_sorted(service.nonIdempotent.begin(), service.nonIdempotent.end());
}

[[nodiscard]] inline bool isNormalized(const Link &link) noexcept
{
    return link.first < link.second;
}

template <typename Entity>
[[nodiscard]] bool isNormalized(const std::vector<Entity> &entities)
{
    const auto check = [](const Entity &it) { return isNormalized(it); };
    return std::all_of(entities.begin(), entities.end(), check)
        && std::is_sorted(entities.begin(), entities.end(), KeyLess {});
}

} // namespace ggv::detail
