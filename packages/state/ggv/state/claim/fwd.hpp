#pragma once

#include <cstdint>

namespace ggv {

struct KeyDigest;
struct ClaimId;
struct ClaimRequest;
struct ClaimCompletion;
struct ClaimRelease;
struct KeptAnswer;
struct ClaimOutcome;
struct ClaimTableLimits;
enum class ClaimDecision : std::uint8_t;
class ClaimTable;

} // namespace ggv
