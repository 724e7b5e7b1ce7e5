#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace ggv {

/**
 * @brief Strongly typed name; names of different kinds are not interchangeable.
 * @tparam Tag Tag type that identifies the kind.
 */
template <typename Tag>
class Name
{
public:
    Name() = default;

    //! @param text The name as written in the register.
    explicit Name(std::string text)
        : m_text(std::move(text))
    { }

    //! @return The name as written in the register.
    [[nodiscard]] const std::string &text() const noexcept { return m_text; }

    //! @return True if the name is empty.
    [[nodiscard]] bool empty() const noexcept { return m_text.empty(); }

    [[nodiscard]] auto operator<=>(const Name &) const noexcept = default;

private:
    std::string m_text;
};

using RegionName = Name<struct RegionTag>;
using FailureDomainName = Name<struct FailureDomainTag>;
using HostName = Name<struct HostTag>; //!< An entry host.
using ServiceName = Name<struct ServiceTag>;
using TargetName = Name<struct TargetTag>;
using ClaimGroupName = Name<struct ClaimGroupTag>;
using ChangeId
    = Name<struct ChangeIdTag>; //!< Chosen by the operator, so that a resent change is idempotent.

//! Version of the register; each accepted change increments it by one.
using RegisterVersion = std::uint64_t;

} // namespace ggv

template <typename Tag>
struct std::hash<ggv::Name<Tag>>
{
    [[nodiscard]] std::size_t operator()(const ggv::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string> {}(name.text());
    }
};
