#pragma once

#include <ggv/state/core/time.hpp>

#include <cstdint>
#include <string>

namespace ggv {

//! Memory that the allocator has taken from the operating system, in bytes.
struct AllocatorUsage
{
    std::size_t used = 0; //!< In live allocations.
    std::size_t unused = 0; //!< Freed, but not returned to the operating system.
};

//! @return The allocator's current usage.
[[nodiscard]] AllocatorUsage allocatorUsage() noexcept;

//! Gauges of a control host, sampled at each scrape.
struct ControlGauges
{
    std::uint64_t version = 0; //!< Version of the applied configuration.
    bool isConfirmedLeader = false; //!< True if a majority confirms this host as leader.
    std::uint64_t term = 0;
    bool isStorageFull = false; //!< True while the disk is full and this host does not vote.
    std::size_t voters = 0;
    std::size_t learners = 0;
    std::size_t membersInContact = 0; //!< That the leader has recently heard; 0 on other hosts.
    std::uint64_t commitIndex = 0;
    std::size_t entryHosts = 0; //!< Number of live entry hosts.
    Duration listAge { 0 }; //!< Time since the target list was read.
    Duration listReadTime { 0 }; //!< Duration of this host's last reading of the target list.
    std::uint64_t configurationBytes = 0; //!< Sent to entry hosts since the start.
    std::uint64_t listBytes = 0; //!< Bytes of target lists sent to entry hosts since the start.
    std::uint64_t completeLists = 0; //!< Sent to entry hosts since the start, not as a delta.
    std::size_t maxQueuedBytes = 0; //!< Longest send queue of an attached entry host.
    std::size_t maxPeerQueuedBytes = 0; //!< Longest send queue of another control host.
    std::uint64_t logEntries = 0; //!< Entries of the quorum's log in memory.
    std::uint64_t logBytes = 0; //!< Payload of the entries in memory.
    std::uint64_t snapshotBytes = 0; //!< State of the latest snapshot.
    std::size_t documentBytes = 0; //!< Configurations retained as bases of updates.
    std::size_t updateBytes = 0; //!< Encoded updates retained for receivers.
    AllocatorUsage allocator;
};

//! @return The gauges in the Prometheus text format.
[[nodiscard]] std::string metricsText(const ControlGauges &gauges);

} // namespace ggv
