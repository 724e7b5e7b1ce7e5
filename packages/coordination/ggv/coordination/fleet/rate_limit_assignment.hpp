#pragma once

#include <ggv/protocol/message/fleet_message.hpp>
#include <ggv/state/routing/target_rate_limit_report.hpp>

#include <map>
#include <vector>

namespace ggv {

/**
 * @brief Divides the rate limits that targets state among all entry hosts.
 * @param records Records of target states; only those about rate limits matter.
 * @param entryHosts All known entry hosts.
 * @param list The platform's target list; a target that it does not name counts as in no region.
 * @return Records with the shares, by entry host; empty if no target states a limit.
 */
[[nodiscard]] std::map<HostName, std::vector<TargetStateReport>>
assignRateLimits(const std::vector<TargetStateReport> &records,
                 const std::vector<HostAnnouncement> &entryHosts, const TargetList &list);

} // namespace ggv
