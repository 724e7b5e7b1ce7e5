#pragma once

#include <ggv/state/quarantine/request_report.hpp>
#include <ggv/state/routing/target_rate_limit_report.hpp>
#include <ggv/state/routing/target_starts.hpp>
#include <ggv/state/routing/target_state_report.hpp>

#include <optional>
#include <vector>

namespace ggv {

/*
 * Reports about targets other than their load travel as records of TargetStateReports whose
 * instance begins with the name of the kind. Control hosts relay records of kinds that they do not
 * know, and entry hosts ignore them, so that hosts of different builds can serve side by side.
 */

//! @return The record for a report about a target's rate limit.
[[nodiscard]] TargetStateReport encodeRateLimitReport(const TargetRateLimitReport &report);
//! @return The report; std::nullopt if the record is of another kind.
[[nodiscard]] std::optional<TargetRateLimitReport>
decodeRateLimitReport(const TargetStateReport &record);

//! @return The record for a host's share of a target's rate limit.
[[nodiscard]] TargetStateReport encodeRateLimitShare(const TargetRateLimitShare &share);
//! @return The share; std::nullopt if the record is of another kind.
[[nodiscard]] std::optional<TargetRateLimitShare>
decodeRateLimitShare(const TargetStateReport &record);

//! @return The record for a report about a request that may crash targets.
[[nodiscard]] TargetStateReport encodeRequestReport(const RequestReport &report);
//! @return The report; std::nullopt if the record is of another kind or malformed.
[[nodiscard]] std::optional<RequestReport> decodeRequestReport(const TargetStateReport &record);

//! @return The record with starts of targets, which older builds ignore; none if there are no
//! starts.
[[nodiscard]] std::vector<TargetStateReport>
encodeTargetStarts(const std::vector<TargetStart> &starts);
//! @return The starts in the records; other and malformed records are left out.
[[nodiscard]] std::vector<TargetStart>
decodeTargetStarts(const std::vector<TargetStateReport> &records);
//! @return True if the record contains starts of targets.
[[nodiscard]] bool isTargetStarts(const TargetStateReport &record) noexcept;

//! @return The record that a certain start of a target departed; older builds read only the record
//! without the start, which is sent beside it.
[[nodiscard]] TargetStateReport encodeDeparture(const TargetStateReport &report);
//! @return The report; std::nullopt if the record is of another kind or malformed.
[[nodiscard]] std::optional<TargetStateReport> decodeDeparture(const TargetStateReport &record);

//! @return True if the record tells the load of a target or that it departed.
[[nodiscard]] bool isLoadRecord(const TargetStateReport &record) noexcept;

} // namespace ggv
