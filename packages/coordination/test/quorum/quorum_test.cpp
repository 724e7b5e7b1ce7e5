#include <ggv/coordination/quorum/quorum.hpp>

#include <storage/fake_disk.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstring>
#include <optional>
#include <set>
#include <thread>
#include <vector>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace {

using ggv::Bytes;
using ggv::ByteView;
using ggv::Completion;
using ggv::Quorum;
using ggv::ResultCode;
using ggv::test::FakeDisk;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ggv::MemberId Self = 7;

//! Concatenates all commands.
class JournalMachine : public ggv::StateMachine
{
public:
    Bytes apply(ggv::LogIndex, ByteView command) override
    {
        m_content.insert(m_content.end(), command.begin(), command.end());
        return {};
    }
    Bytes encode() const override { return m_content; }
    void restore(ByteView state) override { m_content.assign(state.begin(), state.end()); }

private:
    Bytes m_content;
};

class QuorumTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuorumTest);
    CPPUNIT_TEST(fullDiskSuspendsTheMember);
    CPPUNIT_TEST(memberResumesFromTheDisk);
    CPPUNIT_TEST(memberStartsOnAFullDisk);
    CPPUNIT_TEST(pausedFollowerReadsItsMessagesBeforeAnElection);
    CPPUNIT_TEST_SUITE_END();

public:
    void fullDiskSuspendsTheMember()
    {
        startQuorum();
        CPPUNIT_ASSERT(propose(1) == ResultCode::Ok);
        m_disk.setFull(true);
        CPPUNIT_ASSERT(propose(2) == ResultCode::ChangeOutcomeUnknown);
        CPPUNIT_ASSERT(m_quorum->isSuspended());
        CPPUNIT_ASSERT(!m_quorum->hasLeaderLease());
        CPPUNIT_ASSERT_EQUAL(ggv::MemberId { 0 }, m_quorum->status().leader);
        // The member is certain that it does not accept the command.
        CPPUNIT_ASSERT(propose(3) == ResultCode::NotLeader);
        CPPUNIT_ASSERT(m_machine.encode() == Bytes { 1 });
    }

    void memberResumesFromTheDisk()
    {
        startQuorum();
        CPPUNIT_ASSERT(propose(1) == ResultCode::Ok);
        m_disk.setFull(true);
        (void)propose(2);
        m_loop.run_for(milliseconds(600));
        CPPUNIT_ASSERT(m_quorum->isSuspended());
        m_disk.setFull(false);
        waitForLease();
        CPPUNIT_ASSERT(propose(4) == ResultCode::Ok);
        CPPUNIT_ASSERT(m_machine.encode() == Bytes({ 1, 4 }));
    }

    void memberStartsOnAFullDisk()
    {
        m_disk.setFull(true);
        openQuorum();
        CPPUNIT_ASSERT(m_quorum->isSuspended());
        m_disk.setFull(false);
        waitForLease();
        CPPUNIT_ASSERT(propose(1) == ResultCode::Ok);
    }

    // Guards against elections by a member that was suspended or waited for its disk while the
    // leader's messages arrived.
    void pausedFollowerReadsItsMessagesBeforeAnElection()
    {
        std::size_t voteRequests = 0;
        ggv::QuorumSetup setup { "test", "test-", Self, { Self, 8, 9 }, {} };
        setup.options.electionTimeoutMin = milliseconds(300);
        setup.options.electionTimeoutMax = milliseconds(300);
        m_quorum = Quorum::start(m_loop, m_disk, setup, m_machine,
                                 [&voteRequests](const ggv::RaftMessage &message) {
                                     const auto *request
                                         = std::get_if<ggv::VoteRequest>(&message.body);
                                     voteRequests += request == nullptr ? 0 : 1;
                                 })
                       .value();
        const ggv::RaftMessage heartbeat { 8, Self, ggv::AppendRequest { 1, 0, 0, 0, 1, {} } };
        m_quorum->receive(heartbeat);
        m_loop.run_for(milliseconds(20));
        std::this_thread::sleep_for(milliseconds(600));
        // A message that is read from a connection after the timer has expired.
        boost::asio::steady_timer arrival(m_loop, milliseconds(5));
        arrival.async_wait(
            [this, &heartbeat](boost::system::error_code) { m_quorum->receive(heartbeat); });
        m_loop.run_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, voteRequests);
        // Without further messages it does campaign.
        m_loop.run_for(milliseconds(500));
        CPPUNIT_ASSERT(voteRequests > 0);
    }

private:
    void openQuorum()
    {
        ggv::QuorumSetup setup { "test", "test-", Self, { Self }, {} };
        setup.options.electionTimeoutMin = milliseconds(50);
        setup.options.electionTimeoutMax = milliseconds(100);
        setup.options.heartbeatInterval = milliseconds(10);
        m_quorum = Quorum::start(m_loop, m_disk, setup, m_machine, [](const ggv::RaftMessage &) {
                   }).value();
    }

    void startQuorum()
    {
        openQuorum();
        waitForLease();
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + seconds(10);
        while (!condition() && std::chrono::steady_clock::now() < end)
            m_loop.run_for(milliseconds(5));
        CPPUNIT_ASSERT(condition());
    }

    void waitForLease()
    {
        runUntil([this] { return m_quorum->hasLeaderLease(); });
    }

    ResultCode propose(std::uint8_t command)
    {
        std::optional<ResultCode> code;
        m_quorum->propose({ command }, [&code](const Completion &it) { code = it.code; });
        runUntil([&code] { return code.has_value(); });
        return *code;
    }

    boost::asio::io_context m_loop;
    FakeDisk m_disk;
    JournalMachine m_machine;
    std::unique_ptr<Quorum> m_quorum;
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuorumTest);

//! Members of one quorum on one event loop; each has a disk of its own.
class QuorumGroup
{
public:
    explicit QuorumGroup(std::size_t size)
        : m_hosts(size)
    {
        std::vector<ggv::MemberId> voters;
        for (ggv::MemberId id = 1; id <= size; ++id)
            voters.push_back(id);
        for (const ggv::MemberId id : voters)
            start(id, voters);
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_hosts.size(); }
    //! Returns the number of the leader; size() without one.
    [[nodiscard]] std::size_t leader() const
    {
        const auto it = std::find_if(m_hosts.begin(), m_hosts.end(), [](const Host &host) {
            return host.quorum->hasLeaderLease();
        });
        return static_cast<std::size_t>(it - m_hosts.begin());
    }
    [[nodiscard]] FakeDisk &disk(std::size_t number) { return m_hosts[number].disk; }
    [[nodiscard]] bool isSuspended(std::size_t number) const
    {
        return m_hosts[number].quorum->isSuspended();
    }
    [[nodiscard]] std::size_t accepted() const noexcept { return m_accepted.size(); }

    // Proposes commands at whichever member leads, each after the one before completed.
    void proposeFor(milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            if (!m_isPending)
                propose();
            m_loop.run_for(milliseconds(2));
        }
    }

    template <typename Condition>
    [[nodiscard]] bool runUntil(Condition condition, seconds timeout)
    {
        const auto end = std::chrono::steady_clock::now() + timeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
            proposeFor(milliseconds(2));
        return condition();
    }

    // True if every member has applied each accepted command once.
    [[nodiscard]] bool hasAppliedAll() const
    {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [this](const Host &host) {
            const auto applied = commandsOf(host.machine.encode());
            return std::all_of(m_accepted.begin(), m_accepted.end(),
                               [&](std::uint32_t it) { return applied.count(it) == 1; });
        });
    }

private:
    struct Host
    {
        FakeDisk disk;
        JournalMachine machine;
        std::unique_ptr<Quorum> quorum;
    };

    void start(ggv::MemberId id, const std::vector<ggv::MemberId> &voters)
    {
        ggv::QuorumSetup setup { "test", "test-", id, voters, {} };
        setup.options.electionTimeoutMin = milliseconds(50);
        setup.options.electionTimeoutMax = milliseconds(100);
        setup.options.heartbeatInterval = milliseconds(10);
        setup.options.snapshotAfterEntries = 4;
        setup.options.seed = id;
        Host &host = m_hosts[id - 1];
        host.quorum = Quorum::start(m_loop, host.disk, std::move(setup), host.machine,
                                    [this](const ggv::RaftMessage &message) {
                                        boost::asio::post(m_loop, [this, message] {
                                            m_hosts[message.to - 1].quorum->receive(message);
                                        });
                                    })
                          .value();
    }

    static std::multiset<std::uint32_t> commandsOf(const Bytes &content)
    {
        std::multiset<std::uint32_t> commands;
        for (std::size_t at = 0; at + sizeof(std::uint32_t) <= content.size();
             at += sizeof(std::uint32_t)) {
            std::uint32_t command = 0;
            std::memcpy(&command, content.data() + at, sizeof command);
            commands.insert(command);
        }
        return commands;
    }

    void propose()
    {
        const std::size_t number = leader();
        if (number == size())
            return;
        const std::uint32_t command = ++m_lastCommand;
        Bytes bytes(sizeof command);
        std::memcpy(bytes.data(), &command, sizeof command);
        m_isPending = true;
        m_hosts[number].quorum->propose(std::move(bytes), [this, command](const Completion &it) {
            m_isPending = false;
            if (it.code == ResultCode::Ok)
                m_accepted.push_back(command);
        });
    }

    boost::asio::io_context m_loop;
    std::vector<Host> m_hosts;
    std::vector<std::uint32_t> m_accepted;
    std::uint32_t m_lastCommand = 0;
    bool m_isPending = false;
};

class QuorumFullDisksTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QuorumFullDisksTest);
    CPPUNIT_TEST(changesGoOnAfterDisksWereFullInTurn);
    CPPUNIT_TEST(changesGoOnAfterTheLeadersDiskWasFullAgainAndAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a quorum that accepts no change although every disk has room again. Snapshots
    // are taken after each few commands, so that they also meet full disks.
    void changesGoOnAfterDisksWereFullInTurn()
    {
        QuorumGroup group(5);
        CPPUNIT_ASSERT(group.runUntil([&] { return group.accepted() > 20; }, Limit));
        for (std::size_t number = 0; number < group.size(); ++number)
            fillForAWhile(group, number);
        checkOutcome(group);
    }

    void changesGoOnAfterTheLeadersDiskWasFullAgainAndAgain()
    {
        QuorumGroup group(5);
        CPPUNIT_ASSERT(group.runUntil([&] { return group.accepted() > 20; }, Limit));
        for (int round = 0; round < 5; ++round)
            fillForAWhile(group, group.leader());
        checkOutcome(group);
    }

private:
    //! Recovery time that the operators expect of the whole system: many times that of the test's
    //! election timeout.
    static constexpr seconds Limit { 4 };

    static void fillForAWhile(QuorumGroup &group, std::size_t number)
    {
        group.disk(number).setFull(true);
        CPPUNIT_ASSERT(group.runUntil([&] { return group.isSuspended(number); }, Limit));
        const std::size_t before = group.accepted();
        CPPUNIT_ASSERT(group.runUntil([&] { return group.accepted() > before + 20; }, Limit));
        group.disk(number).setFull(false);
        CPPUNIT_ASSERT(group.runUntil([&] { return !group.isSuspended(number); }, Limit));
        CPPUNIT_ASSERT(group.runUntil([&] { return group.leader() < group.size(); }, Limit));
    }

    static void checkOutcome(QuorumGroup &group)
    {
        const std::size_t before = group.accepted();
        CPPUNIT_ASSERT(group.runUntil([&] { return group.accepted() > before + 100; }, Limit));
        CPPUNIT_ASSERT(group.runUntil([&] { return group.hasAppliedAll(); }, Limit));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuorumFullDisksTest);

} // namespace
