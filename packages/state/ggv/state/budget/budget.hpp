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

//! A leased part of a limit.
struct LeasedShare
{
    BudgetKey key;
    BudgetUnits pool = 0; //!< Backed by what no host has as its fixed share.
    BudgetUnits borrowed = 0; //!< Backed by other hosts' promises; a new grantor never renews it.

    //! @return All units of the lease.
    [[nodiscard]] BudgetUnits units() const noexcept { return pool + borrowed; }

    [[nodiscard]] auto operator<=>(const LeasedShare &) const = default;
};

//! Names one grant: sequences are only unique within the leadership of one grantor.
struct GrantId
{
    std::uint64_t term = 0; //!< 0: no grant.
    std::uint64_t sequence = 0;

    [[nodiscard]] auto operator<=>(const GrantId &) const = default;
};

//! What a host asks of the grantor, in one message for all budgets.
struct LeaseRequest
{
    HostName holder;
    std::uint64_t sequence = 0; //!< Rises with each request of one process.
    std::uint64_t process = 0; //!< Drawn at start; a later process of a host draws a higher one.
    RegisterVersion registerVersion = 0; //!< The version that alone binds the holder's use; 0 while
                                         //!< requests of a former process may be in flight.
    GrantId lastGrant; //!< The newest grant that the holder has accepted.
    std::vector<BudgetShare> held; //!< Units beyond the fixed share that are in use or leased.
    std::vector<BudgetShare> renewable; //!< LeasedShare::pool of the live lease.
    std::vector<BudgetShare>
        retained; //!< Promise: of its fixed share the holder uses at most this much until the
                  //!< promise time has passed since it received lastGrant.
    std::vector<BudgetShare> wanted; //!< Units that the holder could use now, fixed share included.

    [[nodiscard]] auto operator<=>(const LeaseRequest &) const = default;
};

//! The grantor's answer: replaces all leases of the holder.
struct LeaseGrant
{
    std::uint64_t sequence = 0; //!< Of the request.
    std::uint64_t process = 0; //!< Of the request.
    std::uint64_t term = 0; //!< Of the grantor's leadership.
    RegisterVersion registerVersion = 0; //!< The version that `fixed` belongs to.
    Duration lifetime { 0 }; //!< Counted by the holder from when it SENT the request.
    bool renewalOnly = false; //!< Extends what the holder still holds; never raises it.
    std::vector<LeasedShare> shares;
    std::vector<BudgetShare> fixed; //!< Fixed share usable from now on, whatever was promised in
                                    //!< this request or an earlier one.

    [[nodiscard]] auto operator<=>(const LeaseGrant &) const = default;
};

} // namespace ggv
