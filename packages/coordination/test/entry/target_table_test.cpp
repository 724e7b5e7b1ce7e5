#include <ggv/coordination/entry/target_table.hpp>

#include <model/sample_register.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <utility>
#include <vector>

namespace {

using namespace ggv;
using std::chrono::seconds;

constexpr Instant Start { seconds(100) };
const FailureDomainName Domain("south-a");

std::uint64_t stampOf(Instant sentAt)
{
    return static_cast<std::uint64_t>(sentAt.time_since_epoch().count());
}

//! A host that has the sample register, with one target.
class Host
{
public:
    Host()
    {
        setTargets({ m_target }, Start);
        m_state = m_view->service("kits")->targets.front().state;
    }

    void setTargets(const std::vector<Target> &targets, Instant now)
    {
        RegisterContent content = test::sampleContent();
        content.targets = targets;
        auto created = Register::create(++m_version, content).value();
        m_view = m_table.buildView(std::make_shared<const Register>(std::move(created)), now);
        m_table.refresh(now, 0);
    }

    //! The target answers a request that was sent at the given time that it is leaving.
    void answerLeaving(Instant sentAt)
    {
        m_table.observeLeaving(m_state->number(), EvidenceSource::Target, stampOf(sentAt), true);
        m_table.refresh(sentAt, 0);
    }

    [[nodiscard]] bool isLeaving() const { return m_state->health() == HealthState::Leaving; }
    [[nodiscard]] const Target &target() const { return m_target; }

private:
    Target m_target = test::sampleContent().targets.front();
    RegisterVersion m_version = 0;
    TargetTable m_table { Domain };
    std::shared_ptr<const EntryView> m_view;
    std::shared_ptr<TargetState> m_state;
};

class TargetTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetTableTest);
    CPPUNIT_TEST(targetThatIsListedAgainIsUsedAgain);
    CPPUNIT_TEST(targetThatMovedIsUsedAgain);
    CPPUNIT_TEST(targetThatIsNoLongerMarkedAsLeavingIsUsedAgain);
    CPPUNIT_TEST(otherChangesOfTheRegisterDoNotEndAStatement);
    CPPUNIT_TEST(lateAnswerOfTheEarlierProcessHasNoEffect);
    CPPUNIT_TEST(returnedTargetThatStillLeavesIsExcludedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a target that said that it leaves and is never used again under its name,
    // although operators removed it, restarted it and added it again.
    void targetThatIsListedAgainIsUsedAgain()
    {
        removeAndAddAgain();
        CPPUNIT_ASSERT(!m_host.isLeaving());
    }

    // Guards against the same fault if the new process has another address.
    void targetThatMovedIsUsedAgain()
    {
        m_host.answerLeaving(Start + seconds(1));
        Target target = m_host.target();
        target.endpoint.port += 1;
        m_host.setTargets({ target }, Start + seconds(2));
        CPPUNIT_ASSERT(!m_host.isLeaving());
    }

    // Guards against the same fault if operators marked the target as leaving, and then took that
    // back.
    void targetThatIsNoLongerMarkedAsLeavingIsUsedAgain()
    {
        m_host.answerLeaving(Start + seconds(1));
        Target target = m_host.target();
        target.leaving = true;
        m_host.setTargets({ target }, Start + seconds(2));
        CPPUNIT_ASSERT(m_host.isLeaving());
        m_host.setTargets({ m_host.target() }, Start + seconds(3));
        CPPUNIT_ASSERT(!m_host.isLeaving());
    }

    // Guards against new work for a leaving target because something else in the register changed.
    void otherChangesOfTheRegisterDoNotEndAStatement()
    {
        m_host.answerLeaving(Start + seconds(1));
        Target target = m_host.target();
        target.slots += 1;
        m_host.setTargets({ target }, Start + seconds(2));
        CPPUNIT_ASSERT(m_host.isLeaving());
    }

    // Guards against an answer that comes late and excludes the new process for good.
    void lateAnswerOfTheEarlierProcessHasNoEffect()
    {
        removeAndAddAgain();
        m_host.answerLeaving(Start + seconds(1));
        CPPUNIT_ASSERT(!m_host.isLeaving());
    }

    // Guards against new work for a target that was listed again too early.
    void returnedTargetThatStillLeavesIsExcludedAgain()
    {
        removeAndAddAgain();
        m_host.answerLeaving(Start + seconds(4));
        CPPUNIT_ASSERT(m_host.isLeaving());
    }

private:
    Host m_host;

    void removeAndAddAgain()
    {
        m_host.answerLeaving(Start + seconds(1));
        CPPUNIT_ASSERT(m_host.isLeaving());
        m_host.setTargets({}, Start + seconds(2));
        m_host.setTargets({ m_host.target() }, Start + seconds(3));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetTableTest);

} // namespace
