#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ggv {

//! Resource that a budget limits.
enum class BudgetKind : std::uint8_t {
    TargetSlots, //!< Requests in flight at a target. Subject: name of the target.
    LinkRate, //!< kbit/s of a link in one direction. Subject: regions as "from>to".
    ShiftRate, //!< Requests/s under a shift cap. Subject: "service:from>to".
};

//! Identifies one shared limit.
struct BudgetKey
{
    BudgetKind kind = BudgetKind::TargetSlots;
    std::string subject;

    [[nodiscard]] auto operator<=>(const BudgetKey &) const = default;
};

using BudgetUnits = std::uint32_t;

//! Number of units of one budget, as used in requests and grants of one host.
struct BudgetShare
{
    BudgetKey key;
    BudgetUnits units = 0;

    [[nodiscard]] auto operator<=>(const BudgetShare &) const = default;
};

//! Part of a limit that is leased to one host.
struct LeasedShare
{
    BudgetKey key;
    BudgetUnits pool = 0; //!< Backed by units outside all fixed shares.
    BudgetUnits borrowed = 0; //!< Backed by unused fixed shares that other hosts have promised to
                              //!< leave free; not renewed by a new grantor.

    //! @return Sum of pool and borrowed units.
    [[nodiscard]] BudgetUnits units() const noexcept { return pool + borrowed; }

    [[nodiscard]] auto operator<=>(const LeasedShare &) const = default;
};

//! Identifies one grant; sequence numbers are unique only within the term of one grantor.
struct GrantId
{
    std::uint64_t term = 0; //!< 0 if there is no grant.
    std::uint64_t sequence = 0;

    [[nodiscard]] auto operator<=>(const GrantId &) const = default;
};

//! Lease request of a host to the grantor; one message covers all budgets.
struct LeaseRequest
{
    HostName holder;
    std::uint64_t sequence = 0; //!< Increases with each request of a process.
    std::uint64_t process = 0; //!< Process number chosen at start; later processes of a host have
                               //!< higher ones.
    RegisterVersion registerVersion = 0; //!< Register version that all usage conforms to; 0 while
                                         //!< requests of an earlier process may be in flight.
    GrantId lastGrant; //!< Latest grant that the holder accepted.
    std::vector<BudgetShare> held; //!< Units beyond the fixed share that are in use or leased.
    std::vector<BudgetShare> renewable; //!< LeasedShare::pool of the current lease.
    std::vector<BudgetShare> retained; //!< Promised upper bound of the fixed share's usage, valid
                                       //!< for BudgetTiming::promise after receipt of lastGrant.
    std::vector<BudgetShare> wanted; //!< Units that could be used now, including the fixed share.

    [[nodiscard]] auto operator<=>(const LeaseRequest &) const = default;
};

//! Reply of the grantor; replaces all leases of the holder.
struct LeaseGrant
{
    std::uint64_t sequence = 0; //!< LeaseRequest::sequence of the request.
    std::uint64_t process = 0; //!< LeaseRequest::process of the request.
    std::uint64_t term = 0; //!< Term in which the grantor leads.
    RegisterVersion registerVersion = 0; //!< Register version that `fixed` belongs to.
    Duration lifetime { 0 }; //!< Counted from when the holder SENT the request, not from receipt.
    bool renewalOnly = false; //!< The grant extends existing leases but does not raise them.
    std::vector<LeasedShare> shares;
    std::vector<BudgetShare> fixed; //!< Fixed shares usable from now on; lifts the promises of this
                                    //!< and all earlier requests.

    [[nodiscard]] auto operator<=>(const LeaseGrant &) const = default;
};

} // namespace ggv
