#include <ggv/state/routing/target_starts.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::ListedTarget;
using ggv::targetKeyOf;
using ggv::TargetStart;
using ggv::TargetStarts;

std::vector<ListedTarget> listOf(const std::string &instance)
{
    ListedTarget target;
    target.instance = instance;
    return { target };
}

class TargetStartsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetStartsTest);
    CPPUNIT_TEST(latestStartIsKnown);
    CPPUNIT_TEST(onlyChangesAreTold);
    CPPUNIT_TEST(missingTargetsAreForgottenOnceTheyAreMany);
    CPPUNIT_TEST_SUITE_END();

public:
    void latestStartIsKnown()
    {
        TargetStarts starts;
        CPPUNIT_ASSERT(!starts.record({ targetKeyOf("i-1"), 0 })); // Unknown.
        CPPUNIT_ASSERT_EQUAL(ggv::UnixMillis { 0 }, starts.find(targetKeyOf("i-1")));
        CPPUNIT_ASSERT(starts.record({ targetKeyOf("i-1"), 1'700'000'000'000 }));
        CPPUNIT_ASSERT(!starts.record({ targetKeyOf("i-1"), 1'699'999'999'999 }));
        CPPUNIT_ASSERT(!starts.record({ targetKeyOf("i-1"), 0 }));
        auto targets = listOf("i-1");
        starts.complete(targets);
        CPPUNIT_ASSERT_EQUAL(ggv::UnixMillis { 1'700'000'000'000 }, targets.front().startedAt);
    }

    void onlyChangesAreTold()
    {
        TargetStarts starts;
        starts.record({ targetKeyOf("i-1"), 5 });
        starts.record({ targetKeyOf("i-2"), 6 });
        const auto revision = starts.revision();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, starts.changedSince(0).size());
        CPPUNIT_ASSERT(starts.changedSince(revision).empty());
        starts.record({ targetKeyOf("i-1"), 5 });
        CPPUNIT_ASSERT_EQUAL(revision, starts.revision());
        starts.record({ targetKeyOf("i-1"), 7 });
        const std::vector changed { TargetStart { targetKeyOf("i-1"), 7 } };
        CPPUNIT_ASSERT(changed == starts.changedSince(revision));
    }

    // Guards against a list whose targets always have new names and fill the memory.
    void missingTargetsAreForgottenOnceTheyAreMany()
    {
        TargetStarts starts;
        for (int n = 0; n < 10'000; ++n) {
            const std::string instance = "i-" + std::to_string(n);
            starts.record({ targetKeyOf(instance), 5 });
            starts.forgetMissing(listOf(instance));
            CPPUNIT_ASSERT_EQUAL(ggv::UnixMillis { 5 }, starts.find(targetKeyOf(instance)));
        }
        CPPUNIT_ASSERT(starts.changedSince(0).size() < 100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetStartsTest);

} // namespace
