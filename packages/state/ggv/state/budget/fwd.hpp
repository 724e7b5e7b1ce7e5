#pragma once

#include <cstdint>

namespace ggv {

enum class BudgetKind : std::uint8_t;
struct BudgetKey;
struct BudgetShare;
struct LeasedShare;
struct GrantId;
struct LeaseRequest;
struct LeaseGrant;
struct BudgetTiming;
struct BudgetDemand;
struct BudgetLimit;
struct BudgetLimits;
class BudgetHolder;
class BudgetLedger;
class SlotGate;
class SlotPermit;
class TokenBucket;

} // namespace ggv
