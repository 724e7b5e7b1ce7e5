#include <ggv/ctl/access.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;

class ArgumentsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ArgumentsTest);
    CPPUNIT_TEST(takesOptionsAnywhere);
    CPPUNIT_TEST(refusesFaults);
    CPPUNIT_TEST(readsNumbers);
    CPPUNIT_TEST(readsAccess);
    CPPUNIT_TEST(refusesFaultyAccess);
    CPPUNIT_TEST_SUITE_END();

public:
    void takesOptionsAnywhere()
    {
        const auto arguments
            = Arguments::parse({ "--json", "apply", "a.toml", "--expected", "4" }).value();
        CPPUNIT_ASSERT_EQUAL(std::string("apply"), arguments.command());
        CPPUNIT_ASSERT(std::vector<std::string> { "a.toml" } == arguments.operands());
        CPPUNIT_ASSERT(arguments.has(Option::Json));
        CPPUNIT_ASSERT(std::string("4") == arguments.text(Option::Expected));
        CPPUNIT_ASSERT(!arguments.text(Option::Change));
    }

    void refusesFaults()
    {
        CPPUNIT_ASSERT(refused({ "show", "--colour" }));
        CPPUNIT_ASSERT(refused({ "show", "--host" }));
        CPPUNIT_ASSERT(refused({ "show", "--json", "--json" }));
    }

    void readsNumbers()
    {
        const auto number = [](const std::string &text) {
            return Arguments::parse({ "watch", "--timeout", text })
                .value()
                .number(Option::Timeout, 10);
        };
        CPPUNIT_ASSERT(std::uint64_t { 10 } == number("10"));
        CPPUNIT_ASSERT_THROW(number("11"), Error);
        CPPUNIT_ASSERT_THROW(number("1s"), Error);
        CPPUNIT_ASSERT_THROW(number("-1"), Error);
        CPPUNIT_ASSERT_THROW(number(""), Error);
    }

    void readsAccess()
    {
        const auto arguments
            = Arguments::parse({ "show", "--host", "127.0.0.1:1,[::1]:2", "--token", "secret" });
        const Access access = Access::fromArguments(arguments.value()).value();
        const std::vector<Endpoint> hosts { { "127.0.0.1", 1 }, { "::1", 2 } };
        CPPUNIT_ASSERT(hosts == access.hosts);
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), access.token);
    }

    void refusesFaultyAccess()
    {
        CPPUNIT_ASSERT(accessRefused({ "--token", "a" }));
        CPPUNIT_ASSERT(accessRefused({ "--host", "here:1", "--token", "a" }));
        CPPUNIT_ASSERT(accessRefused({ "--host", "127.0.0.1:1", "--token", "a\r\nb" }));
        CPPUNIT_ASSERT(accessRefused({ "--host", "127.0.0.1:1", "--token", "" }));
        CPPUNIT_ASSERT(accessRefused(
            { "--host", "127.0.0.1:1", "--token", "a", "--token-file", "no-such-file" }));
        CPPUNIT_ASSERT(accessRefused({ "--host", "127.0.0.1:1", "--token-file", "no-such-file" }));
    }

private:
    static bool refused(const std::vector<std::string> &words)
    {
        const auto arguments = Arguments::parse(words);
        return !arguments && arguments.error().code() == ResultCode::SettingsInvalid;
    }

    static bool accessRefused(const std::vector<std::string> &words)
    {
        const auto access = Access::fromArguments(Arguments::parse(words).value());
        return !access && access.error().code() == ResultCode::SettingsInvalid;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArgumentsTest);

} // namespace
