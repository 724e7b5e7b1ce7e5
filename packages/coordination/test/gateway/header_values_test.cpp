#include <ggv/coordination/gateway/header_values.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>
#include <string>

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
    CPPUNIT_TEST(loadBeyondItsRangeIsUnreadable);
    CPPUNIT_TEST(anyTextIsReadOrRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // The number of a target that is full read as one that is free.
    void loadBeyondItsRangeIsUnreadable()
    {
        for (const char *it : { "4294967296,0,8", "0,4294967297,8", "0,0,99999999999", "-1,0,8" })
            CPPUNIT_ASSERT_MESSAGE(it, !ggv::parseLoad(it));
        CPPUNIT_ASSERT(ggv::parseLoad("4294967295,0,8") == (ReportedLoad { 4294967295U, 0, 8 }));
    }

    // Values of targets and callers: arbitrary bytes, and numbers among other characters.
    void anyTextIsReadOrRejected()
    {
        const auto text = rc::gen::oneOf(
            rc::gen::arbitrary<std::string>(),
            rc::gen::container<std::string>(rc::gen::element<char>(
                '0', '1', '9', '-', '+', '.', ',', 'e', 'n', 'a', 'i', 'f', ';', '=', ' ', '\0')));
        CPPUNIT_ASSERT(rc::check("header values are read or rejected", [&text] {
            const std::string value = *text;
            (void)ggv::parseInteger(value);
            (void)ggv::parseLoad(value);
            if (const auto number = ggv::parseNonNegative(value))
                RC_ASSERT(std::isfinite(*number) && *number >= 0.0);
            if (const auto seconds = ggv::parseSeconds(value))
                RC_ASSERT(*seconds >= ggv::Duration(0) && *seconds <= std::chrono::hours(24));
            const HttpHeaders headers { { "Cookie", value } };
            if (const auto cookie = ggv::findCookie(headers, "a"))
                RC_ASSERT(value.find("a=" + std::string(*cookie)) != std::string::npos);
        }));
    }

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
