#pragma once

#include <ggv/coordination/consensus/raft.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace ggv::detail {

/**
 * @brief Rounds of heartbeats by which a leader proves that it is still the leader.
 *
 * A majority that confirms a round had not voted for another leader when the round began. Reads
 * wait for the next round; the begin of the last confirmed round starts the leader's lease.
 */
class ReadRounds
{
public:
    //! @return The latest round; 0 before the first one.
    [[nodiscard]] std::uint64_t latest() const noexcept { return m_latest; }
    //! @return True if a read waits for a round to begin.
    [[nodiscard]] bool wanted() const noexcept { return !m_unassigned.empty(); }
    //! Adds a read that waits for the next round.
    void add(Ticket ticket) { m_unassigned.push_back(ticket); }
    //! Begins a round.
    void begin(Instant now);
    //! @return When a round began; nothing if it was never begun or is long past.
    [[nodiscard]] std::optional<Instant> startedAt(std::uint64_t round) const noexcept;
    //! @return Reads whose round is confirmed; they are forgotten.
    [[nodiscard]] std::vector<Ticket> takeConfirmed(std::uint64_t confirmedRound);
    //! @return All reads; they are forgotten, and so are the rounds.
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
    std::vector<Ticket> m_unassigned;
};

} // namespace ggv::detail
