#pragma once

#include <ggv/state/quarantine/request_quarantine.hpp>
#include <ggv/state/routing/target_pool.hpp>

#include <vector>

namespace ggv {

//! @return Records of what this host learnt about targets and about requests that may crash them
//! since the last call, for other hosts.
[[nodiscard]] std::vector<TargetStateReport>
takeTargetReports(TargetPool &targets, RequestQuarantine &quarantine, Instant now);

//! Applies the records of other hosts; records of unknown kinds have no effect.
void applyTargetReports(TargetPool &targets, RequestQuarantine &quarantine,
                        const std::vector<TargetStateReport> &records, Instant now);

} // namespace ggv
