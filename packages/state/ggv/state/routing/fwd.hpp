#pragma once

namespace ggv {

struct Route;
struct WeightedService;
struct ServicePolicy;
struct CallerLimits;
class RouteTable;
struct ListedTarget;
class TargetPool;
struct PlacementRequest;
struct PlacementCandidate;
struct Placement;
class SmoothedLoad;
class DepartedTargets;
struct TargetStart;
class TargetStarts;
class TargetBackoff;
class TargetRateLimit;
struct TargetRateLimitReport;
struct TargetRateLimitShare;
struct RateLimitSharer;
struct RetryDelay;
struct ForwardingPeer;
class ForwardingPeers;

} // namespace ggv
