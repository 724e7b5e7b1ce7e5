#pragma once

#include <cstdint>

namespace ggv {

struct AdaptiveLimitPolicy;
class AdaptiveLimit;
struct RetryBudgetPolicy;
class RetryBudget;
struct ShedPolicy;
struct AdmissionLoad;
struct AdmissionDecision;
enum class AdmissionAction : std::uint8_t;
struct RetryStormPolicy;
class RetryStormGuard;
struct QueueEntry;
class WaitQueue;
class MemoryBudget;
class MemoryReservation;

} // namespace ggv
