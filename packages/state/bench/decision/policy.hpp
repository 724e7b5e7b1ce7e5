#pragma once

#include "host_decisions.hpp"

#include <ggv/state/steering/entry_weights.hpp>

#include <string>
#include <vector>

namespace ggv::bench {

//! Where callers of a lost failure domain and requests to its targets are redirected.
enum class Spread : std::uint8_t {
    NearestSpare, //!< To the other failure domain of the region, else to the next region.
    Declustered, //!< To all surviving hosts.
};

//! A simulated policy: enabled features and the function that chooses targets.
struct Policy
{
    using Choose = TargetOrder (HostDecisions::*)(std::size_t service, Instant now);

    std::string name;
    Choose choose = nullptr;
    DecisionOptions options;
    Spread spread = Spread::NearestSpare;
    bool hasEntryWeights = false; //!< Look-ups distribute callers by load and capacity.
    EntryWeightPolicy entryWeights;
};

//! @return All policies; the first is the default policy of the product.
[[nodiscard]] std::vector<Policy> policies();

} // namespace ggv::bench
