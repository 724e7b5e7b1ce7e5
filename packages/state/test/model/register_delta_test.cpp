#include "sample_register.hpp"

#include <ggv/state/model/register_delta.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace {

using namespace ggv;
using ggv::test::sampleContent;
using ggv::test::sampleHost;

RegionName regionNumber(unsigned number) { return RegionName("r" + std::to_string(number)); }

// Returns valid content with random entities of each kind.
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

// Removes about half of the changes, so that the remaining ones may leave invalid references.
template <typename Entity>
void removeRandomChanges(EntityDelta<Entity> &delta)
{
    std::erase_if(delta.put, [](const auto &) { return *rc::gen::arbitrary<bool>(); });
    std::erase_if(delta.remove, [](const auto &) { return *rc::gen::arbitrary<bool>(); });
}

RegisterDelta randomDelta(const Register &base)
{
    auto delta = diffRegisters(base, randomRegister(base.version() + 1));
    removeRandomChanges(delta.regions);
    removeRandomChanges(delta.hosts);
    removeRandomChanges(delta.controlVoters);
    removeRandomChanges(delta.claimGroups);
    removeRandomChanges(delta.links);
    removeRandomChanges(delta.shiftCaps);
    removeRandomChanges(delta.drains);
    if (*rc::gen::inRange(0, 4) == 0)
        delta.domains.remove = { "north-a" };
    if (*rc::gen::inRange(0, 4) == 0)
        delta.hosts.put.push_back(sampleHost("south-a", *rc::gen::inRange(0U, 2U)));
    if (*rc::gen::inRange(0, 4) == 0)
        delta.clientBlocks.put.push_back({ "10.9.0.0/16", FailureDomainName("nowhere") });
    return delta;
}

template <typename Entity>
std::vector<Entity> applyNaively(const std::vector<Entity> &base, const EntityDelta<Entity> &delta)
{
    auto result = base;
    std::erase_if(result, [&](const Entity &it) {
        const auto key = entityKey(it);
        const auto replaces = [&](const Entity &put) { return entityKey(put) == key; };
        return std::count(delta.remove.begin(), delta.remove.end(), key) > 0
            || std::any_of(delta.put.begin(), delta.put.end(), replaces);
    });
    result.insert(result.end(), delta.put.begin(), delta.put.end());
    return result;
}

// Reference implementation of applyDelta() that shares no lists and validates all entities.
Result<Register> applyNaively(const Register &base, const RegisterDelta &delta)
{
    const auto &old = base.content();
    RegisterContent content;
    content.regions = applyNaively<Region>(old.regions, delta.regions);
    content.domains = applyNaively<FailureDomain>(old.domains, delta.domains);
    content.hosts = applyNaively<EntryHost>(old.hosts, delta.hosts);
    content.controlVoters = applyNaively<HostName>(old.controlVoters, delta.controlVoters);
    content.claimGroups = applyNaively<ClaimGroup>(old.claimGroups, delta.claimGroups);
    content.services = applyNaively<Service>(old.services, delta.services);
    content.targets = applyNaively<Target>(old.targets, delta.targets);
    content.links = applyNaively<Link>(old.links, delta.links);
    content.clientBlocks = applyNaively<ClientBlock>(old.clientBlocks, delta.clientBlocks);
    content.shiftCaps = applyNaively<ShiftCap>(old.shiftCaps, delta.shiftCaps);
    content.drains = applyNaively<Drain>(old.drains, delta.drains);
    content.platformListUrl = delta.platformListUrl;
    return Register::create(delta.to, content);
}

class RegisterDeltaTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegisterDeltaTest);
    CPPUNIT_TEST(appliedDifferenceYieldsNewerVersion);
    CPPUNIT_TEST(mergedDeltaHasTheSameEffect);
    CPPUNIT_TEST(equalContentHasAnEmptyDelta);
    CPPUNIT_TEST(deltaIsRejectedForOtherVersions);
    CPPUNIT_TEST(partialValidationMatchesFullValidation);
    CPPUNIT_TEST(unchangedListsAreShared);
    CPPUNIT_TEST_SUITE_END();

public:
    void appliedDifferenceYieldsNewerVersion()
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

    void deltaIsRejectedForOtherVersions()
    {
        RegisterDelta delta;
        delta.from = 3;
        delta.to = 4;
        const auto applied = applyDelta(Register(), delta);
        CPPUNIT_ASSERT(!applied);
        CPPUNIT_ASSERT(applied.error().code() == ResultCode::VersionConflict);
    }

    void partialValidationMatchesFullValidation()
    {
        CPPUNIT_ASSERT(
            rc::check("applyDelta() accepts and rejects the same deltas as a full validation", [] {
                const auto base = randomRegister(1);
                const auto delta = randomDelta(base);
                const auto applied = applyDelta(base, delta);
                const auto expected = applyNaively(base, delta);
                RC_CLASSIFY(!applied, "refused");
                RC_ASSERT(static_cast<bool>(applied) == static_cast<bool>(expected));
                if (!applied)
                    return;
                RC_ASSERT(applied.value() == expected.value());
                for (const auto &it : expected.value().content().hosts) {
                    RC_ASSERT(*applied.value().host(it.name) == it);
                    RC_ASSERT(applied.value().hostsOf(it.domain).size()
                              == expected.value().hostsOf(it.domain).size());
                }
            }));
    }

    void unchangedListsAreShared()
    {
        const auto base = Register::create(1, sampleContent()).value();
        RegisterDelta delta;
        delta.from = 1;
        delta.to = 2;
        delta.targets.put = base.content().targets;
        delta.targets.put[0].slots = 8;
        const auto next = applyDelta(base, delta).value();
        const auto &before = base.content();
        CPPUNIT_ASSERT(next.content().clientBlocks.sharesWith(before.clientBlocks));
        CPPUNIT_ASSERT(!next.content().targets.sharesWith(before.targets));
        CPPUNIT_ASSERT(next.host(before.hosts[0].name) == base.host(before.hosts[0].name));
        const auto copy = Register::create(3, before).value();
        CPPUNIT_ASSERT(copy.content().clientBlocks.sharesWith(before.clientBlocks));
        CPPUNIT_ASSERT_EQUAL(7U, base.target(TargetName("kit-1"))->slots);
        CPPUNIT_ASSERT_EQUAL(8U, next.target(TargetName("kit-1"))->slots);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegisterDeltaTest);

} // namespace
