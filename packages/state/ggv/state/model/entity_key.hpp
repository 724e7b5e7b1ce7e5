#pragma once

#include <ggv/state/model/entities.hpp>

#include <string>
#include <string_view>

namespace ggv::detail {

//! Separates the names in a key; sorts before every character that is valid in a name.
inline constexpr char KeySeparator = ',';

// keyText() returns the key of an entity, by reference if it is stored in the entity.

[[nodiscard]] inline const std::string &keyText(const HostName &host) noexcept
{
    return host.text();
}

[[nodiscard]] inline const std::string &keyText(const ClientBlock &block) noexcept
{
    return block.prefix;
}

[[nodiscard]] std::string keyText(const Link &link);
[[nodiscard]] std::string keyText(const ShiftCap &cap);
[[nodiscard]] std::string keyText(const Drain &drain);

template <typename Entity>
[[nodiscard]] const std::string &keyText(const Entity &entity) noexcept
{
    return entity.name.text();
}

//! @return Key in a register file for the name of the drained entity.
[[nodiscard]] std::string_view drainScopeName(DrainScope scope) noexcept;

//! Compares entities of one kind by key.
struct KeyLess
{
    template <typename Entity>
    [[nodiscard]] bool operator()(const Entity &one, const Entity &other) const
    {
        return keyText(one) < keyText(other);
    }

    template <typename Entity>
    [[nodiscard]] bool operator()(const Entity &one, std::string_view key) const
    {
        return keyText(one) < key;
    }
};

} // namespace ggv::detail
