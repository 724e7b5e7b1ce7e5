#pragma once

#include <ggv/state/core/time.hpp>
#include <ggv/state/routing/listed_target.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace ggv {

//! Identifies an instance name; shorter, as the starts of all targets are sent to all hosts.
using TargetKey = std::uint64_t;
//! Number of bits of a key that are used.
inline constexpr unsigned TargetKeyBits = 36;
//! @return Key of an instance name.
[[nodiscard]] TargetKey targetKeyOf(std::string_view instance) noexcept;

//! Start of a target's process, according to the target.
struct TargetStart
{
    TargetKey target = 0;
    UnixMillis startedAt = 0; //!< Time of the start; 0 if unknown.

    [[nodiscard]] auto operator<=>(const TargetStart &) const = default;
};

/**
 * @brief Latest known start of each target. A target may start again under its instance name.
 *
 * Starts reach other hosts apart from the target list, whose form is fixed.
 */
class TargetStarts
{
public:
    //! Records a start; an earlier one than the known one has no effect.
    //! @return True if the known start has changed.
    bool record(const TargetStart &start);
    //! @return The latest known start; 0 if there is none.
    [[nodiscard]] UnixMillis find(TargetKey target) const;
    //! Sets the start of each target that has a known one.
    void complete(std::vector<ListedTarget> &targets) const;
    //! Forgets targets that are not listed, once they outnumber the others.
    void forgetMissing(const std::vector<ListedTarget> &targets);
    //! @return Number of the last change.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }
    //! @return The starts that changed after a revision.
    [[nodiscard]] std::vector<TargetStart> changedSince(std::uint64_t revision) const;

private:
    struct Record
    {
        UnixMillis startedAt = 0;
        std::uint64_t revision = 0; //!< Number of the change that set it.
    };

    std::map<TargetKey, Record> m_starts;
    std::uint64_t m_revision = 0;
};

} // namespace ggv
