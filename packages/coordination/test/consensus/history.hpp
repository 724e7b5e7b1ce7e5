#pragma once

#include "cluster.hpp"

namespace ggv::test {

//! Size of the cluster and kinds of faults in a random history.
struct HistoryShape
{
    std::size_t members = 3;
    bool crashes = false;
    bool partitions = false;
    bool freezes = false;
    bool lossyNetwork = false;
    bool membership = false;
    std::int64_t clockDrift = 0; // Maximum deviation of clock speeds, in percent.
};

//! Runs random requests and faults on a cluster; derived classes may override the requests.
class History
{
public:
    template <typename... Arguments>
    History(const HistoryShape &shape, std::uint64_t seed, Arguments... arguments)
        : m_shape(shape)
        , m_cluster(shape.members, seed, options(), std::move(arguments)...)
        , m_nextId(shape.members + 1)
    { }

    virtual ~History() = default;

    Cluster &runEvents(int events)
    {
        // Electing the first leader needs all members, so faults start after the election.
        static_cast<void>(m_cluster.waitForLeader());
        if (m_shape.lossyNetwork)
            m_cluster.faults = { 10, 10, Milliseconds(1), Milliseconds(150) };
        for (int i = 0; i < events; ++i) {
            request();
            injectFault();
            m_cluster.run(Milliseconds(10 * (1 + randomBelow(20))));
        }
        m_cluster.checkOutcome();
        return m_cluster;
    }

protected:
    [[nodiscard]] Cluster &cluster() noexcept { return m_cluster; }

    static RaftOptions options()
    {
        RaftOptions options;
        options.snapshotAfterEntries = 12;
        options.maxAppendBytes = 40;
        return options;
    }

    std::uint64_t randomBelow(std::uint64_t limit) { return m_cluster.random()() % limit; }

    Member &anyMember()
    {
        auto it = m_cluster.members().begin();
        std::advance(it, static_cast<std::ptrdiff_t>(randomBelow(m_cluster.members().size())));
        return *it->second;
    }

    virtual void request()
    {
        Member *leader = m_cluster.leader();
        Member &host = leader != nullptr && randomBelow(4) != 0 ? *leader : anyMember();
        if (!host.isUp())
            return;
        const auto writes = randomBelow(4);
        for (std::uint64_t i = 0; i < writes; ++i)
            m_cluster.propose(host);
        if (randomBelow(2) == 0)
            m_cluster.read(anyRunning(host));
    }

    Member &anyRunning(Member &fallback)
    {
        Member &host = anyMember();
        return host.isUp() ? host : fallback;
    }

private:
    void injectFault()
    {
        switch (randomBelow(8)) {
        case 0:
            return crashOne();
        case 1:
            return restartOne();
        case 2:
            return partitionNetwork();
        case 3:
            return m_cluster.setPartition({});
        case 4:
            return freeze();
        case 5:
            return changeClock();
        case 6:
            return changeMembership();
        default:
            return;
        }
    }

    void crashOne()
    {
        Member &host = anyMember();
        if (!m_shape.crashes || !host.isUp())
            return;
        if (randomBelow(2) == 0)
            host.disk.limit(randomBelow(12));
        else
            m_cluster.crash(host);
    }

    void restartOne()
    {
        for (auto &[id, host] : m_cluster.members()) {
            if (!host->isUp())
                return m_cluster.start(*host);
        }
    }

    void partitionNetwork()
    {
        if (!m_shape.partitions)
            return;
        std::set<MemberId> side;
        for (const auto &[id, host] : m_cluster.members()) {
            if (randomBelow(2) == 0)
                side.insert(id);
        }
        m_cluster.setPartition(side);
    }

    void freeze()
    {
        if (m_shape.freezes)
            anyMember().frozenUntil = m_cluster.now() + Milliseconds(10 * randomBelow(300));
    }

    void changeClock()
    {
        if (m_shape.clockDrift == 0)
            return;
        const auto width = static_cast<std::uint64_t>(2 * m_shape.clockDrift + 1);
        const auto drift = static_cast<std::int64_t>(randomBelow(width)) - m_shape.clockDrift;
        anyMember().setClockSpeed(100 + drift, m_cluster.now());
    }

    // Adds a host, removes one, or destroys a host with its disk, which is then removed as a
    // member.
    void changeMembership()
    {
        Member *leader = m_cluster.leader();
        if (!m_shape.membership || leader == nullptr)
            return;
        clearRemovedMember(*leader);
        const RaftStatus status = leader->raft->status();
        if (status.commitIndex == 0)
            return;
        const bool isLarge = status.voters.size() + status.learners.size() > m_shape.members;
        if (m_lostMember != 0)
            m_cluster.changeMember(*leader, m_lostMember, false);
        else if (isLarge)
            m_cluster.changeMember(*leader, status.voters[randomBelow(status.voters.size())],
                                   false);
        else if (randomBelow(3) == 0 && canLoseDisk(status))
            loseDisk(status.voters[randomBelow(status.voters.size())]);
        else
            addHost(*leader);
    }

    void addHost(Member &leader)
    {
        m_cluster.addHost(m_nextId);
        m_cluster.changeMember(leader, m_nextId++, true);
    }

    // At most one disk is lost at a time, and only from a complete quorum without pending changes:
    // a quorum of two that loses a disk cannot recover under any consensus algorithm.
    bool canLoseDisk(const RaftStatus &status)
    {
        return status.voters.size() >= m_shape.members && status.commitIndex == status.lastIndex
            && m_cluster.pending() == 0 && m_cluster.isSettled();
    }

    void loseDisk(MemberId id)
    {
        m_lostMember = id;
        m_cluster.destroy(id);
    }

    void clearRemovedMember(Member &leader)
    {
        const RaftStatus status = leader.raft->status();
        const bool listed
            = std::count(status.voters.begin(), status.voters.end(), m_lostMember) > 0;
        if (m_lostMember != 0 && !listed && status.commitIndex == status.lastIndex)
            m_lostMember = 0;
    }

    HistoryShape m_shape;
    Cluster m_cluster;
    MemberId m_nextId;
    MemberId m_lostMember = 0; // Voter that lost its disk, until its removal is committed.
};

} // namespace ggv::test
