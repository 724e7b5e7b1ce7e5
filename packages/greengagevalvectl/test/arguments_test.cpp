#include <ggv/ctl/connection_options.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;

class ArgumentsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ArgumentsTest);
    CPPUNIT_TEST(acceptsOptionsAtAnyPosition);
    CPPUNIT_TEST(rejectsInvalidOptions);
    CPPUNIT_TEST(parsesNumbers);
    CPPUNIT_TEST(parsesConnectionOptions);
    CPPUNIT_TEST(rejectsInvalidConnectionOptions);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptsOptionsAtAnyPosition()
    {
        const auto arguments
            = Arguments::parse({ "--json", "apply", "a.toml", "--expected", "4" }).value();
        CPPUNIT_ASSERT_EQUAL(std::string("apply"), arguments.command());
        CPPUNIT_ASSERT(std::vector<std::string> { "a.toml" } == arguments.operands());
        CPPUNIT_ASSERT(arguments.has(Option::Json));
        CPPUNIT_ASSERT(std::string("4") == arguments.text(Option::Expected));
        CPPUNIT_ASSERT(!arguments.text(Option::Change));
    }

    void rejectsInvalidOptions()
    {
        CPPUNIT_ASSERT(isRejected({ "show", "--colour" }));
        CPPUNIT_ASSERT(isRejected({ "show", "--host" }));
        CPPUNIT_ASSERT(isRejected({ "show", "--json", "--json" }));
    }

    void parsesNumbers()
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

    void parsesConnectionOptions()
    {
        const auto arguments
            = Arguments::parse({ "show", "--host", "127.0.0.1:1,[::1]:2", "--token", "secret" });
        const ConnectionOptions options
            = ConnectionOptions::fromArguments(arguments.value()).value();
        const std::vector<Endpoint> hosts { { "127.0.0.1", 1 }, { "::1", 2 } };
        CPPUNIT_ASSERT(hosts == options.hosts);
        CPPUNIT_ASSERT_EQUAL(std::string("secret"), options.token);
    }

    void rejectsInvalidConnectionOptions()
    {
        CPPUNIT_ASSERT(areConnectionOptionsRejected({ "--token", "a" }));
        CPPUNIT_ASSERT(areConnectionOptionsRejected({ "--host", "here:1", "--token", "a" }));
        CPPUNIT_ASSERT(
            areConnectionOptionsRejected({ "--host", "127.0.0.1:1", "--token", "a\r\nb" }));
        CPPUNIT_ASSERT(areConnectionOptionsRejected({ "--host", "127.0.0.1:1", "--token", "" }));
        CPPUNIT_ASSERT(areConnectionOptionsRejected(
            { "--host", "127.0.0.1:1", "--token", "a", "--token-file", "no-such-file" }));
        CPPUNIT_ASSERT(areConnectionOptionsRejected(
            { "--host", "127.0.0.1:1", "--token-file", "no-such-file" }));
    }

private:
    static bool isRejected(const std::vector<std::string> &words)
    {
        const auto arguments = Arguments::parse(words);
        return !arguments && arguments.error().code() == ResultCode::SettingsInvalid;
    }

    static bool areConnectionOptionsRejected(const std::vector<std::string> &words)
    {
        const auto options = ConnectionOptions::fromArguments(Arguments::parse(words).value());
        return !options && options.error().code() == ResultCode::SettingsInvalid;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArgumentsTest);

} // namespace
