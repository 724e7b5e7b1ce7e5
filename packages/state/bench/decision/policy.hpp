#pragma once

#include "host_decisions.hpp"

#include <ggv/state/steering/entry_weights.hpp>

#include <string>
#include <vector>

namespace ggv::bench {

//! Where callers of a lost failure domain go, and where its work goes.
enum class Spread : std::uint8_t {
    NearestSpare, //!< The other failure domain of the region, or the next region.
    Declustered, //!< All surviving hosts.
};

//! A way of deciding: what is used of the core, and the function that chooses targets.
struct Policy
{
    using Choose = TargetOrder (HostDecisions::*)(std::size_t service, Instant now);

    std::string name;
    Choose choose = nullptr;
    DecisionOptions options;
    Spread spread = Spread::NearestSpare;
    bool hasEntryWeights = false; //!< Look-ups move callers by load and capacity.
    EntryWeightPolicy entryWeights;
};

//! @return All policies; the first one is the system's own.
[[nodiscard]] std::vector<Policy> policies();

} // namespace ggv::bench
