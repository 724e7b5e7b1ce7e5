#pragma once

#include <cstdint>

namespace ggv {

enum class HealthState : std::uint8_t;
enum class EvidenceSource : std::uint8_t;
enum class TargetOutcome : std::uint8_t;
struct HealthPolicy;
class TargetHealth;
class TargetPathMonitor;
class ConnectionGeneration;

} // namespace ggv
