#include "policy.hpp"

namespace ggv::bench {

namespace {

Policy own(const char *name)
{
    return { name, &HostDecisions::chooseOwn, {}, Spread::Declustered, true, {} };
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
    std::vector<Policy> all { own("ggv") };
    all.push_back(own("ggv-home-callers"));
    all.back().hasEntryWeights = false;
    all.push_back(own("ggv-nearest-spare"));
    all.back().hasEntryWeights = false;
    all.back().spread = Spread::NearestSpare;
    all.push_back(own("ggv-lifo"));
    all.back().options.queueOrder = QueueOrder::AdaptiveLifo;
    all.push_back(own("ggv-fixed-limit"));
    all.back().options.hasAdaptiveLimit = false;
    all.push_back(own("ggv-caps-off"));
    all.back().options.hasCaps = false;
    all.push_back(baseline("random", &HostDecisions::chooseRandom));
    all.push_back(baseline("round-robin", &HostDecisions::chooseRoundRobin));
    all.push_back(baseline("least-in-flight", &HostDecisions::chooseLeastInFlight));
    all.push_back(baseline("least-reported", &HostDecisions::chooseLeastReported));
    return all;
}

} // namespace ggv::bench
