#pragma once

#include <ggv/protocol/message/raft_message.hpp>
#include <ggv/state/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>

namespace ggv::detail {

//! How a leader sends its log to one other member.
enum class ReplicationMode : std::uint8_t {
    Probe, //!< One request at a time until the point where the logs agree is found.
    Pipeline, //!< Requests follow each other without waiting for answers.
    Snapshot, //!< A snapshot is on its way.
};

//! What a leader knows about one other member.
class ReplicationProgress
{
public:
    /**
     * @brief Starts with a guess that the member has the leader's whole log.
     * @param next Index of the entry to send first.
     * @param now Counts as the first contact, so that a new leader is given time.
     */
    ReplicationProgress(LogIndex next, Instant now) noexcept;

    [[nodiscard]] ReplicationMode mode() const noexcept { return m_mode; }
    //! @return Index up to which the member certainly has the leader's log.
    [[nodiscard]] LogIndex match() const noexcept { return m_match; }
    //! @return Index of the entry to send next.
    [[nodiscard]] LogIndex next() const noexcept { return m_next; }
    [[nodiscard]] Instant lastContact() const noexcept { return m_lastContact; }
    [[nodiscard]] Instant snapshotSentAt() const noexcept { return m_snapshotSentAt; }
    //! @return Latest read round that the member has confirmed.
    [[nodiscard]] std::uint64_t ackedRound() const noexcept { return m_ackedRound; }
    //! @return True if entries may be sent before another answer arrives.
    [[nodiscard]] bool canSend() const noexcept;

    //! Notes that the member recognised the leader.
    void contacted(std::uint64_t round, Instant now) noexcept;
    //! Notes that entries up to last were sent.
    void sent(LogIndex last);
    //! Notes that a snapshot was sent.
    void snapshotSent(LogIndex index, Instant now) noexcept;
    //! Notes that the member's log agrees up to an index.
    void accepted(LogIndex index);
    //! Notes that the member refused; @param hint Where its log may agree.
    void refused(LogIndex hint);

private:
    void probeFrom(LogIndex next);

    ReplicationMode m_mode = ReplicationMode::Probe;
    LogIndex m_match = 0;
    LogIndex m_next;
    bool m_probeSent = false;
    std::deque<LogIndex> m_inFlight; // Last index of each unanswered request of the pipeline.
    LogIndex m_snapshotIndex = 0;
    Instant m_snapshotSentAt;
    Instant m_lastContact;
    std::uint64_t m_ackedRound = 0;
};

} // namespace ggv::detail
