#include "sample_register.hpp"

#include <ggv/state/model/register_toml.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using ggv::test::sampleContent;

// A register file with a single fault, and its expected position and message.
struct FaultCase
{
    std::string text;
    std::uint32_t line;
    std::uint32_t column;
    std::string message;
};

const std::string Region = "[[region]]\nname = \"north\"\n";
const std::string Domain = Region + "[[failure_domain]]\nname = \"a\"\nregion = \"north\"\n";

const std::vector<FaultCase> FaultCases = {
    { "[[region]\n", 1, 10, "" },
    { "[[regions]]\nname = \"north\"\n", 1, 3, "unknown key regions" },
    { "[region]\nname = \"north\"\n", 1, 2, "write [[region]]" },
    { "region = [1]\n", 1, 11, "write [[region]]" },
    { "[[control]]\nvoters = []\n", 1, 3, "write [control]" },
    { "[[region]]\n", 1, 1, "name is missing" },
    { "[[region]]\nname = 5\n", 2, 8, "name must be a string" },
    { "[[region]]\nname = \"a b\"\n", 2, 8, "is not a name" },
    { Region + "color = \"red\"\n", 3, 1, "unknown key color" },
    { Region + Region, 3, 1, "\"north\" is given twice" },
    { Domain + "[[client_block]]\nprefix = \"10.0.0.0\"\nnearest = \"a\"\n", 7, 10, "not CIDR" },
    { Domain + "[[client_block]]\nprefix = \"10.0.0.0/8\"\nnearest = \"b\"\n", 8, 11,
      "\"b\" is not in" },
    { "[control]\nvoters = [\"x\"]\n", 2, 11, "no entry host is named \"x\"" },
    { "[control]\nvoters = [1]\n", 2, 10, "an array of names" },
    { "[platform]\nlist_url = \"ftp://x\"\n", 2, 12, "http://" },
    { "[[service]]\nname = \"s\"\ndefault_deadline_ms = \"5\"\n", 3, 23, "milliseconds" },
    { "[[service]]\nname = \"s\"\nmax_body_bytes = -1\n", 3, 18, "a whole number" },
    { "[[service]]\nname = \"s\"\nnon_idempotent = 1\n", 3, 18, "an array of tables" },
    { "[[service]]\nname = \"s\"\ndefault_deadline_ms = nan\n", 3, 23, "milliseconds" },
    { Region + "[[drain]]\nstarts_at = 2026-01-31T20:00:00Z\nempty_at = 2026-01-31T21:00:00Z\n", 3,
      1, "one of the keys target" },
    { Region
          + "[[drain]]\nregion = \"north\"\nstarts_at = 2026-01-31T20:00:00\n"
            "empty_at = 2026-01-31T21:00:00Z\n",
      5, 13, "with offset" },
    { Region + "[[link]]\nbetween = [\"north\"]\nmbit_per_second = 1\none_way_delay_ms = 1\n", 4,
      11, "two regions" },
};

class RegisterTomlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegisterTomlTest);
    CPPUNIT_TEST(faultsHaveLineAndColumn);
    CPPUNIT_TEST(allFaultsAreReportedInFileOrder);
    CPPUNIT_TEST(formattedContentParsesToSameContent);
    CPPUNIT_TEST(omittedKeysHaveDefaults);
    CPPUNIT_TEST(instantsKeepTheirOffset);
    CPPUNIT_TEST_SUITE_END();

public:
    void faultsHaveLineAndColumn()
    {
        for (const auto &it : FaultCases) {
            const auto faults = parseRegisterToml(it.text).faults;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.text, std::size_t { 1 }, faults.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.text, it.line, faults[0].line);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.text, it.column, faults[0].column);
            const bool named = faults[0].message.find(it.message) != std::string::npos;
            CPPUNIT_ASSERT_MESSAGE(it.text + faults[0].message, named);
        }
    }

    void allFaultsAreReportedInFileOrder()
    {
        const auto text = "[[target]]\nname = \"t\"\nslots = 0\nspeed = 3\n" + Domain
            + "zone = 1\n[[region]]\n[[entry_host]]\nname = true\n";
        std::string seen;
        for (const auto &it : parseRegisterToml(text).faults)
            seen += std::to_string(it.line) + ' ';
        CPPUNIT_ASSERT_EQUAL(std::string("1 1 1 3 4 10 11 12 12 12 12 13 "), seen);
    }

    void formattedContentParsesToSameContent()
    {
        const auto content = Register::create(1, sampleContent()).value().content();
        const auto document = parseRegisterToml(formatRegisterToml(content));
        CPPUNIT_ASSERT(document.faults.empty());
        CPPUNIT_ASSERT(content == document.content);
    }

    void omittedKeysHaveDefaults()
    {
        const auto document = parseRegisterToml("[[service]]\nname = \"s\"\n");
        Service expected;
        expected.name = ServiceName("s");
        CPPUNIT_ASSERT(document.faults.empty());
        CPPUNIT_ASSERT(document.content.services == std::vector { expected });
        CPPUNIT_ASSERT(parseRegisterToml("").faults.empty());
    }

    void instantsKeepTheirOffset()
    {
        const auto document = parseRegisterToml(
            Region
            + "[[drain]]\nregion = \"north\"\nstarts_at = 1970-01-01T04:00:01.250+04:00\n"
              "empty_at = 1969-12-31T23:30:00-01:30\n");
        CPPUNIT_ASSERT_EQUAL(UnixMillis { 1250 }, document.content.drains.at(0).startsAt);
        CPPUNIT_ASSERT_EQUAL(UnixMillis { 3'600'000 }, document.content.drains.at(0).emptyAt);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegisterTomlTest);

} // namespace
