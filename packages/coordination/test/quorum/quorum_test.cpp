#include <ggv/coordination/quorum/quorum.hpp>

#include <storage/fake_disk.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

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

} // namespace
