#pragma once

#include <ggv/coordination/fleet/fleet_directory.hpp>
#include <ggv/coordination/fleet/membership_reconciler.hpp>
#include <ggv/coordination/fleet/pause_detector.hpp>

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace ggv::test {

//! Losses of one round of a simulation; each is within two lost hosts at once.
enum class MembershipFault {
    ReplaceTwo,
    ReplaceBesideFreeze, //!< One host is replaced while another one is frozen.
    LoseDiskBesideFreeze, //!< The host returns at its address as another member.
    ReplaceFrozen, //!< A frozen host is lost and replaced.
    LoseSuccessor, //!< The successor of a lost host is lost young and replaced in turn.
    FreezeTwo,
    FreezeLeader, //!< And replace another host at the same moment.
    ChangeLeader, //!< Beside a replaced host.
    ReplaceTwoAsPlanned, //!< Two others lose their disks right after the replaced hosts were
                         //!< stopped.
    KillTwoWithSuccessors, //!< The same with hosts that are killed without notice and do not lead.
    ElectWoken, //!< A host that was frozen beside a replaced one leads soon after it wakes.
    Count
};

/**
 * @brief Control hosts with their directories and membership decisions, a network that delays
 * messages, and a quorum that accepts a membership whenever a majority is awake.
 *
 * A frozen host reads the messages of that time when it wakes, before anything else.
 */
class MembershipSimulation
{
public:
    static constexpr int Hosts = 6;
    static constexpr std::uint32_t ToleratedFailures = 2;
    //! Time within which a quorum has adopted all hosts that are back or new.
    static constexpr Duration SettlingTime = std::chrono::milliseconds(7500);

    /**
     * @brief Starts the hosts and lets the quorum settle.
     * @param seed Seed of all that is random.
     * @param oldHosts Number of hosts whose build dates a message by the time of reading; they do
     * not lead.
     */
    explicit MembershipSimulation(std::uint64_t seed, int oldHosts = 0)
        : m_random(seed)
    {
        for (int n = 0; n < Hosts; ++n) {
            const std::size_t host = startHost(addressOf(n), nameOf(n));
            m_hosts[host].isOld = n < oldHosts;
            m_voters.push_back(m_hosts[host].self.member);
            m_registered.push_back({ m_hosts[host].self.member, m_hosts[host].self.internal });
        }
        m_nextName = Hosts;
        run(SettlingTime);
    }

    //! Brings about the faults, one round each, and lets the quorum settle after each of them.
    void play(const std::vector<MembershipFault> &faults)
    {
        for (const auto it : faults) {
            if (!m_alwaysHadMajority)
                return;
            apply(it);
            run(SettlingTime);
            m_isSettled = m_isSettled && isAligned();
        }
    }

    //! @return True if a majority of the voters was awake at every step.
    [[nodiscard]] bool alwaysHadMajority() const noexcept { return m_alwaysHadMajority; }
    //! @return True if no host was added that all others had time to believe lost.
    [[nodiscard]] bool neverAddedLostHost() const noexcept { return m_neverAddedLostHost; }
    //! @return True if the voters were exactly the running hosts after each round.
    [[nodiscard]] bool alwaysSettled() const noexcept { return m_isSettled; }
    [[nodiscard]] std::size_t voters() const noexcept { return m_voters.size(); }
    [[nodiscard]] std::size_t learners() const noexcept { return m_learners.size(); }
    //! Keeps hosts that start from now on from catching up, although they are in contact.
    void stopCatchUp() noexcept { m_catchesUp = false; }

private:
    struct Host
    {
        HostAnnouncement self;
        bool isRunning = true;
        bool catchesUp = true;
        bool isOld = false;
        Instant stoppedAt = Instant::max(); //!< Time of the signal to stop.
        Instant frozenUntil {};
        Instant lostAt = Instant::max();
        Instant reportedAt {};
        Instant learnerSince = Instant::max();
        FleetDirectory directory;
        PauseDetector pauses { Instant::min() };
        MembershipReconciler reconciler { ToleratedFailures };
    };

    //! A host report if it contains no observations.
    struct Message
    {
        std::size_t to = 0;
        HostAnnouncement from;
        std::vector<HostObservation> observations;
    };

    static constexpr Duration TickInterval = std::chrono::milliseconds(100);
    static constexpr Duration ReportInterval = std::chrono::milliseconds(400);
    static constexpr Duration MaxDelay = std::chrono::milliseconds(70);
    static constexpr Duration CatchUpTime = std::chrono::milliseconds(300);
    static constexpr Duration FreezeTime = std::chrono::seconds(4);
    static constexpr Duration ShutdownTime = std::chrono::milliseconds(400);
    static constexpr Duration MaxRemovalWait = std::chrono::seconds(3);
    //! Time after which a lost or replaced host no longer counts.
    static constexpr Duration CatchUpBound = std::chrono::seconds(4);
    //! Time after which the leader has removed the first of two hosts that were killed.
    static constexpr Duration NoticeTime = std::chrono::seconds(2);
    static constexpr Duration ReplaceDelay = std::chrono::seconds(1);
    static constexpr int Seeds = 3;

    static Endpoint addressOf(int number) { return { "10.0.0." + std::to_string(number), 7000 }; }
    static HostName nameOf(int number) { return HostName("core-" + std::to_string(number)); }

    std::uint64_t draw(std::uint64_t bound) { return m_random() % bound; }
    Duration drawDuration(Duration bound)
    {
        return Duration(
            static_cast<Duration::rep>(draw(static_cast<std::uint64_t>(bound.count()))));
    }

    bool isAwake(const Host &host) const { return host.isRunning && m_now >= host.frozenUntil; }

    const Host *findRunning(MemberId member) const
    {
        for (const auto &it : m_hosts) {
            if (it.isRunning && it.self.member == member)
                return &it;
        }
        return nullptr;
    }

    bool isAwake(MemberId member) const
    {
        const Host *host = findRunning(member);
        return host != nullptr && isAwake(*host);
    }

    bool isMajorityAwake(const std::vector<MemberId> &voters) const
    {
        const auto awake = std::count_if(voters.begin(), voters.end(),
                                         [this](MemberId it) { return isAwake(it); });
        return 2 * static_cast<std::size_t>(awake) > voters.size();
    }

    static bool contains(const std::vector<MemberId> &members, MemberId member)
    {
        return std::find(members.begin(), members.end(), member) != members.end();
    }

    bool isAligned() const
    {
        std::vector<MemberId> running;
        for (const auto &it : m_hosts) {
            if (it.isRunning)
                running.push_back(it.self.member);
        }
        auto voters = m_voters;
        std::sort(running.begin(), running.end());
        std::sort(voters.begin(), voters.end());
        return voters == running && m_learners.empty();
    }

    // --- Faults

    std::size_t startHost(const Endpoint &address, const HostName &name)
    {
        Host host;
        host.self.name = name;
        host.self.role = HostRole::Control;
        host.self.internal = address;
        host.self.member = ++m_lastMember;
        host.self.ready = true;
        host.catchesUp = m_catchesUp;
        host.pauses = PauseDetector(m_now);
        m_hosts.push_back(std::move(host));
        return m_hosts.size() - 1;
    }

    std::size_t startSuccessor()
    {
        const int number = m_nextName++;
        return startHost(addressOf(number), nameOf(number));
    }

    std::size_t drawAwake(std::size_t other = SIZE_MAX)
    {
        std::vector<std::size_t> awake;
        for (std::size_t n = 0; n < m_hosts.size(); ++n) {
            if (n != other && isAwake(m_hosts[n]))
                awake.push_back(n);
        }
        return awake[draw(awake.size())];
    }

    void lose(std::size_t host)
    {
        m_hosts[host].isRunning = false;
        m_hosts[host].lostAt = m_now;
    }

    // The host announces that it leaves and waits for its removal from the quorum.
    void stop(std::size_t host)
    {
        m_hosts[host].stoppedAt = m_now;
        m_hosts[host].self.ready = false;
        sendReports(m_hosts[host]);
    }

    void endStoppedHosts()
    {
        for (std::size_t n = 0; n < m_hosts.size(); ++n) {
            const Host &host = m_hosts[n];
            if (!isAwake(host) || host.stoppedAt == Instant::max())
                continue;
            const bool awaits = awaitsRemoval(statusOf(host), host.self.member, ToleratedFailures);
            const Duration elapsed = m_now - host.stoppedAt;
            if (elapsed >= ShutdownTime && (!awaits || elapsed >= MaxRemovalWait))
                lose(n);
        }
    }

    // The disks are lost once the leader has had time to notice the silence.
    void killTwoWithSuccessors()
    {
        startSuccessor();
        startSuccessor();
        run(CatchUpBound);
        const std::size_t first = drawAwake(m_leader);
        lose(first);
        lose(drawAwake(m_leader));
        run(NoticeTime);
        loseTwoDisks();
    }

    void replaceTwoAsPlanned(std::size_t first, std::size_t second, Duration pause)
    {
        startSuccessor();
        startSuccessor();
        run(CatchUpBound);
        stop(first);
        stop(second);
        run(pause);
        loseTwoDisks();
    }

    // The hosts return at their addresses as other members.
    void loseTwoDisks()
    {
        std::vector<std::size_t> hosts;
        for (std::size_t n = 0; n < m_hosts.size(); ++n) {
            if (isAwake(m_hosts[n]) && m_hosts[n].stoppedAt == Instant::max())
                hosts.push_back(n);
        }
        std::shuffle(hosts.begin(), hosts.end(), m_random);
        hosts.resize(std::min<std::size_t>(hosts.size(), ToleratedFailures));
        for (const std::size_t it : hosts)
            lose(it);
        run(ReplaceDelay);
        for (const std::size_t it : hosts)
            startHost(m_hosts[it].self.internal, m_hosts[it].self.name);
    }

    void freeze(std::size_t host) { m_hosts[host].frozenUntil = m_now + FreezeTime; }

    void replace(std::size_t host)
    {
        lose(host);
        run(ReplaceDelay);
        startSuccessor();
    }

    void apply(MembershipFault fault)
    {
        const std::size_t first = drawAwake();
        const std::size_t second = drawAwake(first);
        const Duration pause = drawDuration(ReplaceDelay);
        switch (fault) {
        case MembershipFault::ReplaceTwo:
            lose(second);
            run(pause);
            replace(first);
            startSuccessor();
            break;
        case MembershipFault::ReplaceBesideFreeze:
            freeze(second);
            run(pause);
            replace(first);
            run(FreezeTime);
            break;
        case MembershipFault::LoseDiskBesideFreeze:
            freeze(second);
            run(pause);
            lose(first);
            run(ReplaceDelay);
            startHost(m_hosts[first].self.internal, m_hosts[first].self.name);
            run(FreezeTime);
            break;
        case MembershipFault::ReplaceFrozen:
            freeze(first);
            run(drawDuration(FreezeTime));
            replace(first);
            break;
        case MembershipFault::LoseSuccessor:
            replace(first);
            run(drawDuration(ReplaceDelay));
            replace(m_hosts.size() - 1);
            break;
        case MembershipFault::FreezeTwo:
            freeze(first);
            run(pause);
            freeze(second);
            run(FreezeTime);
            break;
        case MembershipFault::FreezeLeader:
            freeze(m_leader);
            replace(drawAwake(m_leader));
            run(FreezeTime);
            break;
        case MembershipFault::ChangeLeader:
            lose(first);
            run(ReplaceDelay);
            startSuccessor();
            run(drawDuration(std::chrono::seconds(3)));
            m_leader = drawAwakeVoter();
            break;
        case MembershipFault::ReplaceTwoAsPlanned:
            replaceTwoAsPlanned(first, second, drawDuration(CatchUpBound));
            break;
        case MembershipFault::KillTwoWithSuccessors:
            killTwoWithSuccessors();
            break;
        case MembershipFault::ElectWoken:
            freeze(second);
            run(pause);
            replace(first);
            run(m_hosts[second].frozenUntil - m_now);
            while (m_alwaysHadMajority && !contains(m_voters, m_hosts[second].self.member))
                run(TickInterval);
            if (!m_hosts[second].isOld)
                m_leader = second;
            break;
        case MembershipFault::Count:
            break;
        }
    }

    // --- Quorum

    std::size_t drawAwakeVoter()
    {
        for (;;) {
            const std::size_t host = drawAwake();
            if (!m_hosts[host].isOld && contains(m_voters, m_hosts[host].self.member))
                return host;
        }
    }

    // A frozen leader that wakes before the next one is elected goes on.
    void elect()
    {
        const Host &leader = m_hosts[m_leader];
        if (isAwake(leader) && contains(m_voters, leader.self.member)) {
            m_electionAt = Instant::max();
            return;
        }
        if (m_electionAt == Instant::max())
            m_electionAt = m_now + std::chrono::milliseconds(600) + drawDuration(ReplaceDelay);
        if (m_now >= m_electionAt && isMajorityAwake(m_voters))
            m_leader = drawAwakeVoter();
    }

    RaftStatus statusOf(const Host &host) const
    {
        RaftStatus status;
        status.role = &host == &m_hosts[m_leader] ? RaftRole::Leader : RaftRole::Follower;
        status.leader = m_hosts[m_leader].self.member;
        status.voters = m_voters;
        status.learners = m_learners;
        status.isMember
            = contains(m_voters, host.self.member) || contains(m_learners, host.self.member);
        for (const auto &members : { m_voters, m_learners }) {
            std::copy_if(members.begin(), members.end(), std::back_inserter(status.inContact),
                         [this](MemberId it) { return isAwake(it); });
        }
        return status;
    }

    // Reports of a lost host are on their way for a time, and count for another.
    bool isKnownLost(MemberId member) const
    {
        const auto it = std::find_if(m_hosts.begin(), m_hosts.end(), [member](const Host &host) {
            return host.self.member == member;
        });
        return !it->isRunning
            && m_now > it->lostAt + MaxDelay + FleetDirectory::LivenessTimeout + 2 * TickInterval;
    }

    void carryOut(const MembershipStep &step)
    {
        std::vector<MemberId> voters = m_voters;
        switch (step.kind) {
        case MembershipStepKind::Register:
            m_registered.push_back({ step.member, step.internal });
            break;
        case MembershipStepKind::Add:
            m_learners.push_back(step.member);
            m_neverAddedLostHost = m_neverAddedLostHost && !isKnownLost(step.member);
            break;
        case MembershipStepKind::Remove:
            std::erase(voters, step.member);
            if (!isMajorityAwake(voters))
                break;
            m_voters = voters;
            std::erase(m_learners, step.member);
            break;
        }
    }

    void promoteLearner()
    {
        for (auto &it : m_hosts) {
            const bool isLearner = isAwake(it) && contains(m_learners, it.self.member);
            it.learnerSince = isLearner ? std::min(it.learnerSince, m_now) : Instant::max();
            if (!isLearner || !it.catchesUp || m_now < it.learnerSince + CatchUpTime)
                continue;
            std::erase(m_learners, it.self.member);
            m_voters.push_back(it.self.member);
            return;
        }
    }

    // --- Hosts

    std::vector<std::size_t> peersOf(const Host &host)
    {
        std::vector<Endpoint> endpoints;
        for (const auto &it : m_hosts) {
            if (it.isRunning && endpoints.size() < Seeds)
                endpoints.push_back(it.self.internal);
        }
        for (const auto &it : host.directory.alive(HostRole::Control, m_now))
            endpoints.push_back(it.internal);
        for (const auto &it : m_registered) {
            if (contains(m_voters, it.member) || contains(m_learners, it.member))
                endpoints.push_back(it.internal);
        }
        std::vector<std::size_t> peers;
        for (std::size_t n = 0; n < m_hosts.size(); ++n) {
            const Endpoint &address = m_hosts[n].self.internal;
            if (m_hosts[n].isRunning && &m_hosts[n] != &host
                && std::find(endpoints.begin(), endpoints.end(), address) != endpoints.end())
                peers.push_back(n);
        }
        return peers;
    }

    void sendReports(Host &host)
    {
        host.reportedAt = m_now;
        for (const std::size_t peer : peersOf(host)) {
            const Instant arrival = m_now + drawDuration(MaxDelay);
            m_network.emplace(arrival, Message { peer, host.self, {} });
            m_network.emplace(arrival,
                              Message { peer, host.self, host.directory.observations(m_now) });
        }
    }

    void deliverMessages()
    {
        for (auto it = m_network.begin(); it != m_network.end() && it->first <= m_now;) {
            Host &host = m_hosts[it->second.to];
            if (host.isRunning && !isAwake(host)) {
                ++it;
                continue;
            }
            if (host.isRunning)
                receive(host, it->second);
            it = m_network.erase(it);
        }
    }

    void receive(Host &host, const Message &message)
    {
        host.pauses.observe(m_now);
        const Instant sentAt = host.isOld ? m_now : host.pauses.notSentBefore(m_now);
        if (message.observations.empty())
            host.directory.observeReport(message.from, sentAt);
        for (const auto &it : message.observations) {
            if (it.host.name != host.self.name)
                host.directory.observeRelayed(it, sentAt);
        }
    }

    void tick(Host &host)
    {
        host.pauses.observe(m_now);
        host.directory.observeReport(host.self, m_now);
        if (m_now - host.reportedAt >= ReportInterval)
            sendReports(host);
        auto status = statusOf(host);
        host.reconciler.observeLeader(status.leader, host.pauses.runningSince(), m_now);
        if (status.role != RaftRole::Leader || !isMajorityAwake(m_voters))
            return;
        const auto step = host.reconciler.nextStep(std::move(status), m_registered,
                                                   host.directory.reportingHosts(m_now), m_now);
        if (step)
            carryOut(*step);
    }

    void run(Duration duration)
    {
        for (const Instant end = m_now + duration; m_now < end;) {
            m_now += TickInterval;
            deliverMessages();
            elect();
            for (auto &it : m_hosts) {
                if (isAwake(it))
                    tick(it);
            }
            promoteLearner();
            endStoppedHosts();
            m_alwaysHadMajority = m_alwaysHadMajority && isMajorityAwake(m_voters);
        }
    }

    std::mt19937_64 m_random;
    Instant m_now { std::chrono::seconds(1000) };
    std::deque<Host> m_hosts; //!< Also those that are lost.
    std::multimap<Instant, Message> m_network; //!< By time of arrival.
    std::vector<MemberId> m_voters;
    std::vector<MemberId> m_learners;
    std::vector<RegisterMember> m_registered;
    std::size_t m_leader = Hosts - 1;
    Instant m_electionAt = Instant::max();
    MemberId m_lastMember = 0;
    int m_nextName = 0;
    bool m_catchesUp = true;
    bool m_alwaysHadMajority = true;
    bool m_neverAddedLostHost = true;
    bool m_isSettled = true;
};

} // namespace ggv::test
