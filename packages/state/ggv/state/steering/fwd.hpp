#pragma once

#include <cstdint>

namespace ggv {

enum class Proximity : std::uint8_t;
struct TargetCandidate;
struct ChoicePolicy;
class TargetOrder;
struct DrainWindow;
struct ShiftRampPolicy;
class ShiftRamp;
class ClientBlockIndex;
struct LookupContext;
struct LookupQuery;
struct LookupHost;
class LookupAnswer;
class LookupTable;

} // namespace ggv
