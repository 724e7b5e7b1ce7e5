#pragma once

#include <ggv/state/core/time.hpp>

#include <cstdint>
#include <string>

namespace ggv {

//! Values of a control host that are read at a scrape.
struct ControlGauges
{
    std::uint64_t version = 0; //!< Of the configuration that is applied.
    bool isConfirmedLeader = false; //!< A majority confirms this host as leader.
    std::uint64_t term = 0;
    std::size_t voters = 0;
    std::uint64_t commitIndex = 0;
    std::size_t entryHosts = 0; //!< That are alive.
    Duration listAge { 0 }; //!< Since the list of targets was read.
};

//! @return The gauges in the text format of Prometheus.
[[nodiscard]] std::string metricsText(const ControlGauges &gauges);

} // namespace ggv
