#pragma once

#include <cstdint>

namespace ggv {

struct KeyDigest;
struct ClaimId;
struct ClaimRequest;
struct ClaimCompletion;
struct ClaimRelease;
struct StoredAnswer;
struct ClaimOutcome;
struct ClaimTableLimits;
enum class ClaimDecision : std::uint8_t;
class ClaimTable;

} // namespace ggv
