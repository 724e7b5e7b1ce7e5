#include <ggv/ctl/drain_edit.hpp>
#include <ggv/ctl/instant_text.hpp>
#include <ggv/ctl/register_difference.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;

RegisterContent sampleContent()
{
    RegisterContent content;
    content.regions = { { RegionName("north") }, { RegionName("south") } };
    content.domains = { { FailureDomainName("a"), RegionName("north") } };
    return content;
}

class EditTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EditTest);
    CPPUNIT_TEST(parsesInstants);
    CPPUNIT_TEST(rejectsMalformedInstants);
    CPPUNIT_TEST(replacesDrain);
    CPPUNIT_TEST(removesDrain);
    CPPUNIT_TEST(listsDifferences);
    CPPUNIT_TEST_SUITE_END();

public:
    void parsesInstants()
    {
        constexpr UnixMillis Millisecond = 1;
        CPPUNIT_ASSERT(UnixMillis { 0 } == parseInstant("1970-01-01T00:00:00Z"));
        CPPUNIT_ASSERT(1000 * Millisecond == parseInstant("1970-01-01T04:00:01+04:00"));
        CPPUNIT_ASSERT(5'400'000 * Millisecond == parseInstant("1970-01-01T00:00:00-01:30"));
        CPPUNIT_ASSERT(951'782'400'000 * Millisecond == parseInstant("2000-02-29T00:00:00Z"));
    }

    void rejectsMalformedInstants()
    {
        for (const char *text :
             { "", "2026-12-04", "2026-12-04T20:00:00", "2026-02-30T00:00:00Z",
               "2026-12-04T24:00:00Z", "2026-12-04T20:60:00Z", "2026-12-04T20:00:00+4:00" })
            CPPUNIT_ASSERT_MESSAGE(text, !parseInstant(text));
    }

    void replacesDrain()
    {
        const Drain first { DrainScope::Region, "north", 1, 2 };
        const Drain other { DrainScope::FailureDomain, "north", 1, 2 };
        const Drain second { DrainScope::Region, "north", 3, 4 };
        auto content = withDrain(withDrain(sampleContent(), first), other);
        content = withDrain(content, second);
        const std::vector<Drain> expected { other, second };
        CPPUNIT_ASSERT(expected == content.drains.items());
    }

    void removesDrain()
    {
        const auto content = withDrain(sampleContent(), { DrainScope::Region, "north", 1, 2 });
        CPPUNIT_ASSERT(sampleContent()
                       == withoutDrain(content, DrainScope::Region, "north").value());
        const auto missing = withoutDrain(content, DrainScope::Target, "north");
        CPPUNIT_ASSERT(!missing);
        CPPUNIT_ASSERT(ResultCode::UnknownEntity == missing.error().code());
    }

    void listsDifferences()
    {
        RegisterContent next = sampleContent();
        next.regions = { { RegionName("south") }, { RegionName("west") } };
        next.domains = { { FailureDomainName("a"), RegionName("south") } };
        next.platformListUrl = "http://127.0.0.1/list";
        const Register from = Register::create(1, sampleContent()).value();
        const Register to = Register::create(2, next).value();
        const std::vector<Difference> expected {
            { DifferenceKind::Added, "platform", "list_url" },
            { DifferenceKind::Added, "region", "west" },
            { DifferenceKind::Removed, "region", "north" },
            { DifferenceKind::Changed, "failure_domain", "a" },
        };
        CPPUNIT_ASSERT(expected == listDifferences(from, to));
        CPPUNIT_ASSERT(listDifferences(from, from).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EditTest);

} // namespace
