#include "sample_register.hpp"

#include <ggv/state/model/register_rules.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>

namespace {

using namespace ggv;
using ggv::test::sampleContent;

using Edit = std::function<void(RegisterContent &)>;

// An edit of the sample content and a substring of the expected fault.
struct RuleCase
{
    Edit edit;
    std::string fault;
};

const std::vector<RuleCase> RuleCases = {
    { [](auto &c) { c.regions[0].name = RegionName("a b"); }, "is not a name" },
    { [](auto &c) { c.regions[0].name = RegionName(std::string(65, 'a')); }, "is not a name" },
    { [](auto &c) { c.regions.push_back(c.regions[0]); }, "\"south\" is given twice" },
    { [](auto &c) { c.domains[0].region = RegionName("west"); }, "region: \"west\" is not in" },
    { [](auto &c) { c.hosts[0].domain = FailureDomainName("x"); }, "domain: \"x\" is not in" },
    { [](auto &c) { c.hosts[0].callers.port = 0; }, "callers: needs an IP address" },
    { [](auto &c) { c.hosts[0].internal.address = "localhost"; }, "internal: needs an IP" },
    { [](auto &c) { c.hosts[0].internal = c.hosts[1].callers; }, "port 8080 is given twice" },
    { [](auto &c) { c.hosts[0].incarnation = ~0ULL; }, "incarnation: must be from 0" },
    { [](auto &c) { c.controlVoters[0] = HostName("gone"); }, "no entry host is named \"gone\"" },
    { [](auto &c) { c.controlVoters[0] = HostName("south-a-h1"); }, "has no disk" },
    { [](auto &c) { c.controlVoters[0] = c.controlVoters[1]; }, "is given twice" },
    { [](auto &c) { c.controlVoters.resize(MaximumVoters + 1); }, "at most 9 voters" },
    { [](auto &c) { c.claimGroups[0].voters.clear(); }, "a claim group needs a voter" },
    { [](auto &c) { c.claimGroups[0].voters.push_back(c.claimGroups[0].voters[0]); }, "twice" },
    { [](auto &c) { c.services[0].claimGroup.reset(); }, "needs a claim_group" },
    { [](auto &c) { c.services[0].claimGroup = ClaimGroupName("no"); }, "claim_group: \"no\"" },
    { [](auto &c) { c.services[0].nonIdempotent[0].method = "post"; }, "upper-case" },
    { [](auto &c) { c.services[0].nonIdempotent[0].pathPrefix = "x"; }, "starts with /" },
    { [](auto &c) { c.services[0].defaultDeadline = Duration(0); }, "default_deadline_ms" },
    { [](auto &c) { c.services[0].probePath = "load"; }, "probe_path" },
    { [](auto &c) { c.targets[0].service = ServiceName("no"); }, "service: \"no\"" },
    { [](auto &c) { c.targets[0].slots = 0; }, "slots: must be from 1" },
    { [](auto &c) { c.links[0].first = c.links[0].second; }, "two different regions" },
    { [](auto &c) {
         c.links.push_back({ c.links[0].second, c.links[0].first, 1, Duration(0) });
     },
      "\"north,south\" is given twice" },
    { [](auto &c) { c.links[0].oneWayDelay = Duration(-1); }, "one_way_delay_ms" },
    { [](auto &c) { c.clientBlocks[0].prefix = "10.1.2.0/16"; }, "written \"10.1.0.0/16\"" },
    { [](auto &c) { c.clientBlocks[0].prefix = "10.1.0.0/33"; }, "is not CIDR" },
    { [](auto &c) { c.clientBlocks[1].prefix = c.clientBlocks[0].prefix; }, "is given twice" },
    { [](auto &c) { c.shiftCaps[0].to = c.shiftCaps[0].from; }, "two different regions" },
    { [](auto &c) { c.drains[0].name = "west"; }, "region: \"west\"" },
    { [](auto &c) { c.drains[0].emptyAt = 0; }, "before it starts" },
    { [](auto &c) { c.platformListUrl = "file:///x"; }, "http://" },
};

// An edit of the sample content that is valid in itself, and the transition rule that it violates.
struct TransitionCase
{
    Edit edit;
    std::string rule; // Empty if the transition is allowed.
};

const std::vector<TransitionCase> TransitionCases = {
    { [](auto &) {}, "" },
    { [](auto &c) { c.controlVoters.pop_back(); }, "" },
    { [](auto &c) { c.controlVoters.push_back(HostName("south-b-h0")); }, "" },
    { [](auto &c) { c.controlVoters[0] = HostName("south-b-h0"); }, "control quorum" },
    { [](auto &c) { c.controlVoters.resize(1); }, "control quorum" },
    { [](auto &c) { c.controlVoters.clear(); }, "last voter" },
    { [](auto &c) { c.claimGroups[0].voters[0] = HostName("south-a-h0"); }, "group orders" },
    { [](auto &c) { c.claimGroups[0].voters.push_back(HostName("south-a-h0")); }, "" },
    { [](auto &c) {
         c.claimGroups.push_back({ ClaimGroupName("other"), { HostName("north-b-h0") } });
         c.services[0].claimGroup = ClaimGroupName("other");
     },
      "service kits must keep" },
    { [](auto &c) {
         c.services[0].nonIdempotent.clear();
         c.services[0].claimGroup.reset();
     },
      "service kits must keep" },
    { [](auto &c) {
         c.services.clear();
         c.targets.clear();
         c.shiftCaps.clear();
     },
      "" },
    { [](auto &c) { c.hosts[1].incarnation = 0; }, "must not fall" },
};

RegisterContent contentWithIncarnation()
{
    auto content = sampleContent();
    content.hosts[1].incarnation = 3;
    return content;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

class RegisterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegisterTest);
    CPPUNIT_TEST(eachBrokenRuleIsReported);
    CPPUNIT_TEST(allFaultsAreReportedAtOnce);
    CPPUNIT_TEST(entitiesAreFoundByName);
    CPPUNIT_TEST(orderOfInputDoesNotMatter);
    CPPUNIT_TEST(transitionRulesAreEnforced);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachBrokenRuleIsReported()
    {
        for (const auto &it : RuleCases) {
            auto content = sampleContent();
            it.edit(content);
            const auto made = Register::create(1, content);
            CPPUNIT_ASSERT_MESSAGE(it.fault, !made);
            CPPUNIT_ASSERT(made.error().code() == ResultCode::RegisterInvalid);
            const std::string message = made.error().what();
            CPPUNIT_ASSERT_MESSAGE(it.fault + " not in: " + message, contains(message, it.fault));
        }
    }

    void allFaultsAreReportedAtOnce()
    {
        auto content = sampleContent();
        content.targets[0].slots = 0;
        content.targets[0].domain = FailureDomainName("x");
        content.drains[0].name = "y";
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, checkContent(content).size());
    }

    void entitiesAreFoundByName()
    {
        const auto made = Register::create(4, sampleContent()).value();
        const RegionName north("north");
        const RegionName south("south");
        const ServiceName kits("kits");
        CPPUNIT_ASSERT_EQUAL(RegisterVersion { 4 }, made.version());
        CPPUNIT_ASSERT(made.region(north) != nullptr);
        CPPUNIT_ASSERT(made.region(RegionName("west")) == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 7 }, made.target(TargetName("kit-1"))->slots);
        CPPUNIT_ASSERT(made.link(north, south) != nullptr);
        CPPUNIT_ASSERT(made.link(north, south) == made.link(south, north));
        CPPUNIT_ASSERT(made.link(north, north) == nullptr);
        CPPUNIT_ASSERT(made.shiftCap(kits, north, south) != nullptr);
        CPPUNIT_ASSERT(made.shiftCap(kits, south, north) == nullptr);
        CPPUNIT_ASSERT(*made.regionOf(FailureDomainName("south-b")) == south);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, made.targetsOf(kits).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, made.hostsOf(FailureDomainName("south-b")).size());
        CPPUNIT_ASSERT(made.targetsOf(ServiceName("none")).empty());
    }

    void orderOfInputDoesNotMatter()
    {
        auto content = sampleContent();
        const auto one = Register::create(1, content).value();
        std::reverse(content.hosts.begin(), content.hosts.end());
        std::reverse(content.domains.begin(), content.domains.end());
        std::swap(content.links[0].first, content.links[0].second);
        std::reverse(content.controlVoters.begin(), content.controlVoters.end());
        CPPUNIT_ASSERT(one == Register::create(1, content).value());
        CPPUNIT_ASSERT(!(one == Register::create(2, content).value()));
    }

    void transitionRulesAreEnforced()
    {
        const auto current = Register::create(1, contentWithIncarnation()).value();
        for (const auto &it : TransitionCases) {
            auto next = contentWithIncarnation();
            it.edit(next);
            CPPUNIT_ASSERT_MESSAGE(it.rule, Register::create(2, next));
            CPPUNIT_ASSERT_MESSAGE(it.rule, contains(transitionFault(current, next), it.rule));
            CPPUNIT_ASSERT_EQUAL(it.rule.empty(), transitionFault(current, next).empty());
        }
    }

private:
    static std::string transitionFault(const Register &current, const RegisterContent &next)
    {
        try {
            checkTransition(current, next);
            return {};
        } catch (const Error &error) {
            return error.what();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegisterTest);

} // namespace
