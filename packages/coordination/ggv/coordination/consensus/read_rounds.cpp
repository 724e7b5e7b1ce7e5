#include <ggv/coordination/consensus/read_rounds.hpp>

#include <utility>

namespace ggv::detail {

namespace {

constexpr std::size_t MaxRounds = 1024;

} // namespace

void ReadRounds::startRound(Instant now)
{
    ++m_latest;
    m_rounds.push_back({ m_latest, now });
    if (m_rounds.size() > MaxRounds)
        m_rounds.pop_front();
    for (const Ticket ticket : std::exchange(m_waitingReads, {}))
        m_reads.push_back({ m_latest, ticket });
}

std::optional<Instant> ReadRounds::startedAt(std::uint64_t round) const noexcept
{
    if (m_rounds.empty() || round < m_rounds.front().number || round > m_latest)
        return std::nullopt;
    return m_rounds[round - m_rounds.front().number].startedAt;
}

std::vector<Ticket> ReadRounds::takeConfirmed(std::uint64_t confirmedRound)
{
    std::vector<Ticket> confirmed;
    while (!m_reads.empty() && m_reads.front().round <= confirmedRound) {
        confirmed.push_back(m_reads.front().ticket);
        m_reads.pop_front();
    }
    return confirmed;
}

std::vector<Ticket> ReadRounds::takeAll()
{
    std::vector<Ticket> tickets = takeConfirmed(m_latest);
    tickets.insert(tickets.end(), m_waitingReads.begin(), m_waitingReads.end());
    *this = {};
    return tickets;
}

} // namespace ggv::detail
