#pragma once

#include <ggv/coordination/consensus/raft.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace ggv::detail {

/**
 * @brief Heartbeat rounds by which a leader confirms that it is still the leader.
 *
 * A majority that confirms a round had not voted for another leader when the round started. Reads
 * wait for the next round. The leader lease runs from the start of the last confirmed round.
 */
class ReadRounds
{
public:
    //! Returns the number of the latest round, or 0 before the first round.
    [[nodiscard]] std::uint64_t latest() const noexcept { return m_latest; }
    //! Returns true if a read waits for the next round to start.
    [[nodiscard]] bool hasWaitingReads() const noexcept { return !m_waitingReads.empty(); }
    //! Adds a read that the next round will confirm.
    void add(Ticket ticket) { m_waitingReads.push_back(ticket); }
    //! Starts a round and assigns the waiting reads to it.
    void startRound(Instant now);
    //! Returns the start time of a round, or std::nullopt if it was never started or has been
    //! pruned.
    [[nodiscard]] std::optional<Instant> startedAt(std::uint64_t round) const noexcept;
    //! Returns the reads of rounds up to the confirmed one and removes them.
    [[nodiscard]] std::vector<Ticket> takeConfirmed(std::uint64_t confirmedRound);
    //! Returns all reads and removes them and all rounds.
    [[nodiscard]] std::vector<Ticket> takeAll();

private:
    struct Round
    {
        std::uint64_t number;
        Instant startedAt;
    };
    struct Read
    {
        std::uint64_t round;
        Ticket ticket;
    };

    std::uint64_t m_latest = 0;
    std::deque<Round> m_rounds;
    std::deque<Read> m_reads;
    std::vector<Ticket> m_waitingReads;
};

} // namespace ggv::detail
