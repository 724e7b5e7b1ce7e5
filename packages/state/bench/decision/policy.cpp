#include "policy.hpp"

namespace ggv::bench {

namespace {

Policy ggvPolicy(const char *name)
{
    return { name, &HostDecisions::chooseByLibrary, {}, Spread::Declustered, true, {} };
}

Policy baseline(const char *name, Policy::Choose choose)
{
    DecisionOptions options;
    options.hasCaps = false;
    options.hasAdmission = false;
    options.hasDrainSchedule = false;
    options.hasRetryBudget = false;
    return { name, choose, options, Spread::NearestSpare, false, {} };
}

} // namespace

std::vector<Policy> policies()
{
    std::vector<Policy> result { ggvPolicy("ggv") };
    result.push_back(ggvPolicy("ggv-home-callers"));
    result.back().hasEntryWeights = false;
    result.push_back(ggvPolicy("ggv-nearest-spare"));
    result.back().hasEntryWeights = false;
    result.back().spread = Spread::NearestSpare;
    result.push_back(ggvPolicy("ggv-lifo"));
    result.back().options.queueOrder = QueueOrder::AdaptiveLifo;
    result.push_back(ggvPolicy("ggv-fixed-limit"));
    result.back().options.hasAdaptiveLimit = false;
    result.push_back(ggvPolicy("ggv-caps-off"));
    result.back().options.hasCaps = false;
    result.push_back(baseline("random", &HostDecisions::chooseRandom));
    result.push_back(baseline("round-robin", &HostDecisions::chooseRoundRobin));
    result.push_back(baseline("least-in-flight", &HostDecisions::chooseLeastInFlight));
    result.push_back(baseline("least-reported", &HostDecisions::chooseLeastReported));
    return result;
}

} // namespace ggv::bench
