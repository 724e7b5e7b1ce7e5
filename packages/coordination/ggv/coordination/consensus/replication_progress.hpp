#pragma once

#include <ggv/protocol/message/raft_message.hpp>
#include <ggv/state/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace ggv::detail {

//! How a leader replicates its log to another member.
enum class ReplicationMode : std::uint8_t {
    Probe, //!< One request at a time, until the index at which the logs match is found.
    Pipeline, //!< Requests are sent without waiting for replies.
    Snapshot, //!< A snapshot has been sent and not yet acknowledged.
};

//! Replication state that a leader maintains for another member.
class ReplicationProgress
{
public:
    /**
     * @brief Starts in probe mode.
     * @param next Index of the first entry to send; assumes that the member has all entries before.
     * @param now Counts as the first contact, so that a new leader does not step down before the
     * member can reply.
     */
    ReplicationProgress(LogIndex next, Instant now) noexcept;

    [[nodiscard]] ReplicationMode mode() const noexcept { return m_mode; }
    //! Returns the highest index up to which the member's log is known to match the leader's.
    [[nodiscard]] LogIndex match() const noexcept { return m_match; }
    //! Returns the index of the next entry to send.
    [[nodiscard]] LogIndex next() const noexcept { return m_next; }
    //! Returns the index up to which the member holds the log, or will once a sent snapshot
    //! arrives.
    [[nodiscard]] LogIndex receivedIndex() const noexcept;
    [[nodiscard]] Instant lastContact() const noexcept { return m_lastContact; }
    //! Returns the last time at which a message to the member was on its way.
    [[nodiscard]] Instant lastTransfer() const noexcept { return m_lastTransfer; }
    [[nodiscard]] Instant snapshotSentAt() const noexcept { return m_snapshotSentAt; }
    //! Returns true if a snapshot was sent since the matching index was last unknown. A second one
    //! instead of the entries after the first would not bring the member closer to the leader.
    [[nodiscard]] bool hasSentSnapshot() const noexcept { return m_snapshotSent; }
    //! Returns true if the member has answered a message that was sent after the snapshot.
    [[nodiscard]] bool hasAnsweredSinceSnapshot() const noexcept;
    //! Returns the latest read round that the member has confirmed.
    [[nodiscard]] std::uint64_t ackedRound() const noexcept { return m_ackedRound; }
    //! Returns true if entries may be sent now, without waiting for a reply.
    [[nodiscard]] bool canSend() const noexcept;

    //! Records that the member acknowledged the leader in a read round.
    void recordContact(std::uint64_t round, Instant now) noexcept;
    //! Records that a message to the member is on its way.
    void recordTransfer(Instant now) noexcept { m_lastTransfer = now; }
    //! Records that entries up to last were sent. @param bytes Payload of the entries.
    void recordSent(LogIndex last, std::uint64_t bytes);
    //! Records that a snapshot was sent. @param round Read round that it carried.
    void recordSnapshotSent(LogIndex index, std::uint64_t round, Instant now) noexcept;
    //! Records that the member's log matches up to an index.
    void recordAccepted(LogIndex index);
    //! Records that the member rejected a request. @param hint Index at which its log may match.
    void recordRejected(LogIndex hint);

private:
    //! An unacknowledged request of the pipeline.
    struct Request
    {
        LogIndex last = 0; //!< Index of its last entry.
        std::uint64_t bytes = 0; //!< Payload of its entries.
    };

    void clearInFlight() noexcept;
    void probeFrom(LogIndex next);

    ReplicationMode m_mode = ReplicationMode::Probe;
    LogIndex m_match = 0;
    LogIndex m_next;
    bool m_probeSent = false;
    std::deque<Request> m_inFlight;
    std::uint64_t m_inFlightBytes = 0; // Total of m_inFlight.
    LogIndex m_snapshotIndex = 0;
    std::uint64_t m_snapshotRound = 0;
    bool m_snapshotSent = false;
    Instant m_snapshotSentAt;
    Instant m_lastContact;
    Instant m_lastTransfer = Instant::min();
    std::uint64_t m_ackedRound = 0;
};

} // namespace ggv::detail
