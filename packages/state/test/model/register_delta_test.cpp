#include "sample_register.hpp"

#include <ggv/state/model/register_delta.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace ggv;
using ggv::test::sampleContent;
using ggv::test::sampleHost;

RegionName regionNumber(unsigned number) { return RegionName("r" + std::to_string(number)); }

// Valid content that differs from run to run in each of the kinds.
RegisterContent randomContent()
{
    auto content = sampleContent();
    const auto regions = *rc::gen::inRange(0U, 5U);
    for (unsigned i = 0; i < regions; ++i) {
        const auto name = regionNumber(*rc::gen::inRange(0U, 3U) * 10 + i);
        content.regions.push_back({ name });
        content.links.push_back({ name, RegionName("north"), *rc::gen::inRange(1U, 3U), {} });
        content.shiftCaps.push_back({ ServiceName("kits"), name, RegionName("south"), i });
        content.drains.push_back({ DrainScope::Region, name.text(), 0, *rc::gen::inRange(0, 2) });
    }
    for (unsigned i = 2; i < *rc::gen::inRange(2U, 6U); ++i)
        content.hosts.push_back(sampleHost("north-a", i));
    for (unsigned i = 0; i < 4; ++i) {
        const auto prefix = "10.2." + std::to_string(i) + ".0/24";
        const auto *nearest = *rc::gen::element("north-a", "south-a");
        if (*rc::gen::arbitrary<bool>())
            content.clientBlocks.push_back({ prefix, FailureDomainName(nearest) });
    }
    content.targets[0].slots = *rc::gen::inRange(1U, 3U);
    content.services[0].maxBodyBytes = *rc::gen::inRange(1U, 3U);
    content.controlVoters.resize(*rc::gen::inRange(1U, 4U));
    if (*rc::gen::arbitrary<bool>())
        content.claimGroups.push_back({ ClaimGroupName("a"), { HostName("south-a-h0") } });
    content.platformListUrl = *rc::gen::element<std::string>("", "http://127.0.0.1:1/");
    return content;
}

Register randomRegister(RegisterVersion version)
{
    return Register::create(version, randomContent()).value();
}

class RegisterDeltaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegisterDeltaTest);
    CPPUNIT_TEST(deltaTurnsOneVersionIntoTheOther);
    CPPUNIT_TEST(mergedDeltaHasTheSameEffect);
    CPPUNIT_TEST(equalContentHasAnEmptyDelta);
    CPPUNIT_TEST(deltaFitsOnlyItsVersion);
    CPPUNIT_TEST(invalidOutcomeIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void deltaTurnsOneVersionIntoTheOther()
    {
        CPPUNIT_ASSERT(rc::check("delta", [] {
            const auto from = randomRegister(1);
            const auto to = randomRegister(2);
            RC_ASSERT(applyDelta(from, diffRegisters(from, to)).value() == to);
        }));
    }

    void mergedDeltaHasTheSameEffect()
    {
        CPPUNIT_ASSERT(rc::check("merge", [] {
            std::vector<Register> versions { randomRegister(1) };
            std::vector<RegisterDelta> deltas;
            for (RegisterVersion version = 2; version < 6; ++version) {
                versions.push_back(randomRegister(version));
                const auto &previous = versions[versions.size() - 2];
                deltas.push_back(diffRegisters(previous, versions.back()));
            }
            RC_ASSERT(applyDelta(versions.front(), mergeDeltas(deltas)).value() == versions.back());
        }));
    }

    void equalContentHasAnEmptyDelta()
    {
        const auto one = Register::create(1, sampleContent()).value();
        RegisterDelta expected;
        expected.from = 1;
        expected.to = 1;
        expected.platformListUrl = one.content().platformListUrl;
        CPPUNIT_ASSERT(expected == diffRegisters(one, one));
    }

    void deltaFitsOnlyItsVersion()
    {
        RegisterDelta delta;
        delta.from = 3;
        delta.to = 4;
        const auto made = applyDelta(Register(), delta);
        CPPUNIT_ASSERT(!made);
        CPPUNIT_ASSERT(made.error().code() == ResultCode::VersionConflict);
    }

    void invalidOutcomeIsRefused()
    {
        const auto base = Register::create(1, sampleContent()).value();
        RegisterDelta delta;
        delta.from = 1;
        delta.to = 2;
        delta.domains.remove = { "north-a" };
        const auto made = applyDelta(base, delta);
        CPPUNIT_ASSERT(!made);
        CPPUNIT_ASSERT(made.error().code() == ResultCode::RegisterInvalid);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegisterDeltaTest);

} // namespace
