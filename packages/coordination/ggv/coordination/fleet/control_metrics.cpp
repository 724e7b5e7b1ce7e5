#include <ggv/coordination/fleet/control_metrics.hpp>

#include <ggv/state/log/event_log.hpp>

#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace ggv {

std::string metricsText(const ControlGauges &gauges)
{
    prometheus::Registry registry;
    const auto add = [&registry](const char *name, const char *help, double value) {
        prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
    };
    add("ggv_control_version", "Version of the applied configuration",
        static_cast<double>(gauges.version));
    add("ggv_control_leads", "1 while this host is the leader confirmed by a majority, else 0",
        gauges.isConfirmedLeader ? 1 : 0);
    add("ggv_control_term", "Current term of the quorum", static_cast<double>(gauges.term));
    add("ggv_control_voters", "Number of voters in the quorum", static_cast<double>(gauges.voters));
    add("ggv_control_commit_index", "Index of the last committed log entry",
        static_cast<double>(gauges.commitIndex));
    add("ggv_control_entry_hosts", "Number of live entry hosts",
        static_cast<double>(gauges.entryHosts));
    add("ggv_control_list_age_seconds", "Time since the target list was read",
        std::chrono::duration<double>(gauges.listAge).count());
    add("ggv_log_lines_dropped", "Log lines dropped because the output did not keep up",
        static_cast<double>(droppedLogLines()));
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace ggv
