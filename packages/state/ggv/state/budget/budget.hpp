#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ggv {

//! What a budget limits.
enum class BudgetKind : std::uint8_t {
    TargetSlots, //!< Unit: requests in flight. Subject: the target.
    LinkRate, //!< Unit: kbit/s in one direction. Subject: "from>to" regions.
    ShiftRate, //!< Unit: requests/s. Subject: "service:from>to".
};

//! Names one shared limit.
struct BudgetKey
{
    BudgetKind kind = BudgetKind::TargetSlots;
    std::string subject;

    [[nodiscard]] auto operator<=>(const BudgetKey &) const = default;
};

using BudgetUnits = std::uint32_t;

//! A part of a limit that one host may use until the lease ends.
struct BudgetShare
{
    BudgetKey key;
    BudgetUnits units = 0;

    [[nodiscard]] auto operator<=>(const BudgetShare &) const = default;
};

//! What a host asks of the grantor, in one message for all budgets.
struct LeaseRequest
{
    HostName holder;
    std::uint64_t sequence = 0; //!< Rises with each request of one process.
    std::uint64_t process = 0; //!< Random number that the process drew when it started.
    RegisterVersion registerVersion = 0; //!< The version the holder has in force.
    std::vector<BudgetShare> held; //!< Units that the holder may still be using, lease live or not.
    std::vector<BudgetShare> wanted; //!< Units that the holder could use now.

    [[nodiscard]] auto operator<=>(const LeaseRequest &) const = default;
};

//! The grantor's answer: replaces all leases of the holder.
struct LeaseGrant
{
    std::uint64_t sequence = 0; //!< Of the request.
    std::uint64_t term = 0; //!< Of the grantor's leadership.
    Duration lifetime { 0 }; //!< Counted by the holder from when it SENT the request.
    std::vector<BudgetShare> shares;

    [[nodiscard]] auto operator<=>(const LeaseGrant &) const = default;
};

} // namespace ggv
