#include <ggv/state/routing/route_table.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>

namespace {

using ggv::ResultCode;
using ggv::Route;
using ggv::RouteRules;
using ggv::RouteTable;
using ggv::ServiceName;

Route routeTo(const std::string &name, const std::string &prefix, const std::string &service)
{
    Route route;
    route.name = name;
    route.hostName = "kits.example";
    route.pathPrefix = prefix;
    route.timeout = std::chrono::seconds(2);
    route.services = { { ServiceName(service), 1.0 } };
    return route;
}

RouteRules sampleRules()
{
    RouteRules rules;
    rules.version = 3;
    rules.routes = { routeTo("all", "/", "shop"), routeTo("orders", "/orders/", "orders"),
                     routeTo("bulk", "/orders/bulk/", "bulk") };
    for (const auto &it : rules.routes)
        rules.services[it.services.front().service] = {};
    return rules;
}

//! A change that makes the sample rules invalid, and the expected part of the error message.
struct InvalidRules
{
    void (*change)(RouteRules &rules);
    const char *message;
};

const InvalidRules InvalidSamples[] = {
    { [](auto &rules) { rules.routes[0].hostName.clear(); }, "empty host name" },
    { [](auto &rules) { rules.routes[1].services[0].service = ServiceName("none"); },
      "unknown service none" },
    { [](auto &rules) { rules.routes[0].timeout = std::chrono::minutes(11); }, "time-out" },
    { [](auto &rules) { rules.routes[0].timeout = ggv::Duration(0); }, "time-out" },
    { [](auto &rules) { rules.routes[1].pathPrefix = "orders/"; }, "slash" },
    { [](auto &rules) { rules.routes[1].pathPrefix = "/orders"; }, "slash" },
    { [](auto &rules) { rules.routes[1].maxAttempts = 0; }, "no attempt" },
    { [](auto &rules) { rules.routes[1].services[0].weight = 0.0; }, "weight above 0" },
    { [](auto &rules) { rules.routes[1].services[0].weight = -1.0; }, "negative weight" },
    { [](auto &rules) { rules.routes[1].services[0].weight = std::nan(""); }, "negative weight" },
    { [](auto &rules) { rules.routes[1].pathPrefix = "/"; }, "same host and prefix" },
};

class RouteTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RouteTableTest);
    CPPUNIT_TEST(longestPrefixWins);
    CPPUNIT_TEST(hostNamesAreComparedWithoutPortAndCase);
    CPPUNIT_TEST(invalidRulesAreReported);
    CPPUNIT_TEST(servicesAreChosenByWeight);
    CPPUNIT_TEST_SUITE_END();

public:
    void longestPrefixWins()
    {
        const auto table = RouteTable::create(sampleRules()).value();
        CPPUNIT_ASSERT_EQUAL(std::string("bulk"),
                             table.find("kits.example", "/orders/bulk/1")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("orders"), table.find("kits.example", "/orders/x")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("all"), table.find("kits.example", "/orders")->name);
        CPPUNIT_ASSERT(table.find("other.example", "/orders/x") == nullptr);
    }

    void hostNamesAreComparedWithoutPortAndCase()
    {
        const auto table = RouteTable::create(sampleRules()).value();
        CPPUNIT_ASSERT(table.find("KITS.example:8080", "/orders/x") != nullptr);
    }

    void invalidRulesAreReported()
    {
        for (const auto &it : InvalidSamples) {
            auto rules = sampleRules();
            it.change(rules);
            const auto table = RouteTable::create(rules);
            CPPUNIT_ASSERT_MESSAGE(it.message, !table);
            CPPUNIT_ASSERT(table.error().code() == ResultCode::RegisterInvalid);
            const std::string text = table.error().what();
            CPPUNIT_ASSERT_MESSAGE(text, text.find(it.message) != std::string::npos);
        }
    }

    void servicesAreChosenByWeight()
    {
        CPPUNIT_ASSERT(
            rc::check("the service is chosen whose share of the weights contains the fraction", [] {
                Route route;
                const auto one = *rc::gen::inRange(0, 100);
                const auto two = *rc::gen::inRange(1, 100);
                route.services = { { ServiceName("one"), static_cast<double>(one) },
                                   { ServiceName("two"), static_cast<double>(two) } };
                const double fraction = *rc::gen::inRange(0, 1000) / 1000.0;
                const bool first = fraction * (one + two) < one;
                RC_ASSERT(ggv::chooseService(route, fraction).text() == (first ? "one" : "two"));
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

} // namespace
