#include <ggv/coordination/fleet/control_metrics.hpp>

#include <ggv/state/log/event_log.hpp>

#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <malloc.h>

namespace ggv {

AllocatorUsage allocatorUsage() noexcept
{
    const auto info = ::mallinfo2();
    return { info.uordblks + info.hblkhd, info.fordblks };
}

std::string metricsText(const ControlGauges &gauges)
{
    prometheus::Registry registry;
    const auto add = [&registry](const char *name, const char *help, double value) {
        prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
    };
    add("ggv_control_version", "Version of the configuration that is applied",
        static_cast<double>(gauges.version));
    add("ggv_control_leads", "1 while a majority confirms this host as leader",
        gauges.isConfirmedLeader ? 1 : 0);
    add("ggv_control_term", "Term of the quorum", static_cast<double>(gauges.term));
    add("ggv_control_storage_full", "1 while the disk is full and this host does not vote",
        gauges.isStorageFull ? 1 : 0);
    add("ggv_control_voters", "Voters of the quorum", static_cast<double>(gauges.voters));
    add("ggv_control_learners", "Members that are not voters yet",
        static_cast<double>(gauges.learners));
    add("ggv_control_members_in_contact", "Members that this leader has recently heard",
        static_cast<double>(gauges.membersInContact));
    add("ggv_control_commit_index", "Last committed entry",
        static_cast<double>(gauges.commitIndex));
    add("ggv_control_entry_hosts", "Entry hosts that are alive",
        static_cast<double>(gauges.entryHosts));
    add("ggv_control_list_age_seconds", "Since the list of targets was read",
        std::chrono::duration<double>(gauges.listAge).count());
    add("ggv_control_list_read_seconds", "Duration of this host's last reading of the target list",
        std::chrono::duration<double>(gauges.listReadTime).count());
    add("ggv_control_configuration_bytes", "Bytes of configurations sent to entry hosts",
        static_cast<double>(gauges.configurationBytes));
    add("ggv_control_list_bytes", "Bytes of target lists sent to entry hosts",
        static_cast<double>(gauges.listBytes));
    add("ggv_control_complete_lists", "Target lists sent to entry hosts that are not deltas",
        static_cast<double>(gauges.completeLists));
    add("ggv_control_max_queued_bytes", "Longest send queue of an attached entry host",
        static_cast<double>(gauges.maxQueuedBytes));
    add("ggv_control_max_peer_queued_bytes", "Longest send queue of another control host",
        static_cast<double>(gauges.maxPeerQueuedBytes));
    add("ggv_control_log_entries", "Entries of the quorum's log in memory",
        static_cast<double>(gauges.logEntries));
    add("ggv_control_log_bytes", "Payload of the entries of the quorum's log in memory",
        static_cast<double>(gauges.logBytes));
    add("ggv_control_snapshot_bytes", "State of the latest snapshot of the quorum",
        static_cast<double>(gauges.snapshotBytes));
    add("ggv_control_document_bytes", "Configurations retained as bases of updates",
        static_cast<double>(gauges.documentBytes));
    add("ggv_control_update_bytes", "Encoded configuration updates retained for receivers",
        static_cast<double>(gauges.updateBytes));
    add("ggv_allocator_used_bytes", "Memory in live allocations",
        static_cast<double>(gauges.allocator.used));
    add("ggv_allocator_unused_bytes", "Freed memory not returned to the operating system",
        static_cast<double>(gauges.allocator.unused));
    add("ggv_log_lines_dropped", "Log lines that nobody read in time",
        static_cast<double>(droppedLogLines()));
    return prometheus::TextSerializer().Serialize(registry.Collect());
}

} // namespace ggv
