#include <ggv/coordination/gateway/header_values.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::HttpHeaders;
using ggv::ReportedLoad;

class HeaderValuesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HeaderValuesTest);
    CPPUNIT_TEST(parsesOnlyIntegers);
    CPPUNIT_TEST(cookiesAreFoundByFullName);
    CPPUNIT_TEST(parsesLoadOfThreeNumbers);
    CPPUNIT_TEST(secondsHaveThreeDecimals);
    CPPUNIT_TEST(parsesOnlyFiniteSeconds);
    CPPUNIT_TEST_SUITE_END();

public:
    void parsesOnlyIntegers()
    {
        CPPUNIT_ASSERT(ggv::parseInteger("250") == 250);
        CPPUNIT_ASSERT(ggv::parseInteger("-1") == -1);
        for (const char *it : { "", "1.5", "2 ", "0x1", "99999999999999999999" })
            CPPUNIT_ASSERT_MESSAGE(it, !ggv::parseInteger(it));
    }

    void cookiesAreFoundByFullName()
    {
        const HttpHeaders headers { { "Cookie", "XObject=1; a=b;Object=7;  Object2=8" },
                                    { "cookie", "Late=9" } };
        CPPUNIT_ASSERT(ggv::findCookie(headers, "Object") == "7");
        CPPUNIT_ASSERT(ggv::findCookie(headers, "Late") == "9");
        CPPUNIT_ASSERT(!ggv::findCookie(headers, "Obj"));
        CPPUNIT_ASSERT(!ggv::findCookie({}, "Object"));
    }

    void parsesLoadOfThreeNumbers()
    {
        CPPUNIT_ASSERT(ggv::parseLoad("3,0,8") == ReportedLoad({ 3, 0, 8 }));
        for (const char *it : { "", "3", "3,0", "3,-1,8", "a,b,c", "3,,8" })
            CPPUNIT_ASSERT_MESSAGE(it, !ggv::parseLoad(it));
    }

    void secondsHaveThreeDecimals()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("0.405"),
                             ggv::formatSeconds(std::chrono::milliseconds(405)));
    }

    void parsesOnlyFiniteSeconds()
    {
        using std::chrono::hours;
        using std::chrono::milliseconds;
        CPPUNIT_ASSERT(ggv::parseSeconds("2") == milliseconds(2000));
        CPPUNIT_ASSERT(ggv::parseSeconds("0.25") == milliseconds(250));
        CPPUNIT_ASSERT(ggv::parseSeconds("0") == milliseconds(0));
        CPPUNIT_ASSERT(ggv::parseSeconds("1e9") == hours(24));
        for (const char *it : { "", "-1", "nan", "inf", "1e999", "soon", "2 s", " 2",
                                "Fri, 04 Dec 2026 10:00:00 GMT" })
            CPPUNIT_ASSERT_MESSAGE(it, !ggv::parseSeconds(it));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeaderValuesTest);

} // namespace
