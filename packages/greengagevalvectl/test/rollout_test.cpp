#include <ggv/ctl/rollout.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using nlohmann::json;

json host(const std::string &name, RegisterVersion version, const std::string &change)
{
    return { { "host", name }, { "version", version }, { "change", change } };
}

Rollout rolloutOf(RegisterVersion accepted, const json &hosts)
{
    const json status { { "accepted", accepted }, { "hosts", hosts } };
    return Rollout::fromStatus(status, 5).value();
}

class RolloutTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RolloutTest);
    CPPUNIT_TEST(reportsProgressOfEachHost);
    CPPUNIT_TEST(completesDespiteUnreachableHosts);
    CPPUNIT_TEST(staysIncompleteUntilInForce);
    CPPUNIT_TEST(rejectsMalformedStatus);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportsProgressOfEachHost()
    {
        const json hosts = json::array({ host("a", 6, "in force"), host("b", 5, "pending"),
                                         host("c", 4, "pending"), host("d", 5, "unreachable") });
        const std::map<std::string, std::string> expected {
            { "a", "in force" }, { "b", "in force" }, { "c", "pending" }, { "d", "unreachable" }
        };
        const Rollout rollout = rolloutOf(6, hosts);
        CPPUNIT_ASSERT(expected == rollout.hosts());
        CPPUNIT_ASSERT(!rollout.isComplete());
    }

    void completesDespiteUnreachableHosts()
    {
        const json hosts = json::array({ host("a", 5, "in force"), host("b", 4, "unreachable") });
        CPPUNIT_ASSERT(rolloutOf(5, hosts).isComplete());
    }

    void staysIncompleteUntilInForce()
    {
        // The queried host does not know the accepted version yet.
        CPPUNIT_ASSERT(!rolloutOf(4, json::array({ host("a", 5, "in force") })).isComplete());
        CPPUNIT_ASSERT(!rolloutOf(5, json::array()).isComplete());
        CPPUNIT_ASSERT(!rolloutOf(5, json::array({ host("a", 5, "unreachable") })).isComplete());
    }

    void rejectsMalformedStatus()
    {
        CPPUNIT_ASSERT(!Rollout::fromStatus(json::object(), 1));
        CPPUNIT_ASSERT(!Rollout::fromStatus({ { "accepted", "x" }, { "hosts", {} } }, 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);

} // namespace
