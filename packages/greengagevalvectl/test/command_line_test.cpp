#include <ggv/ctl/command_line.hpp>

#include <ggv/ctl/command.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;

//! Temporary file, removed on destruction.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
        : m_path(std::filesystem::temp_directory_path()
                 / ("ggv-ctl-" + std::to_string(::getpid()) + ".toml"))
    {
        std::ofstream(m_path) << text;
    }
    ~TemporaryFile() { std::filesystem::remove(m_path); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    std::string path() const { return m_path.string(); }

private:
    std::filesystem::path m_path;
};

class CommandLineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CommandLineTest);
    CPPUNIT_TEST(acceptsValidFile);
    CPPUNIT_TEST(reportsAllFaults);
    CPPUNIT_TEST(reportsFaultsAsJson);
    CPPUNIT_TEST(printsHelpForEachSubcommand);
    CPPUNIT_TEST(rejectsInvalidUsage);
    CPPUNIT_TEST(mapsResultCodesToExitCodes);
    CPPUNIT_TEST_SUITE_END();

public:
    void acceptsValidFile()
    {
        const TemporaryFile file("[[region]]\nname = \"north\"\n");
        CPPUNIT_ASSERT(ExitCode::Ok == run({ "check", file.path() }));
        CPPUNIT_ASSERT_EQUAL(std::string(), m_out.str());
    }

    void reportsAllFaults()
    {
        const TemporaryFile file("[[region]]\nname = 5\n[[region]]\nname = 6\n");
        CPPUNIT_ASSERT(ExitCode::Faults == run({ "check", file.path() }));
        const std::string expected = file.path() + ":2:8: name must be a string\n" + file.path()
            + ":4:8: name must be a string\n";
        CPPUNIT_ASSERT_EQUAL(expected, m_out.str());
    }

    void reportsFaultsAsJson()
    {
        const TemporaryFile file("[[region]]\nname = 5\n");
        CPPUNIT_ASSERT(ExitCode::Faults == run({ "check", "--json", file.path() }));
        const auto report = nlohmann::json::parse(m_out.str());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, report.at("faults").size());
        CPPUNIT_ASSERT_EQUAL(2, report["faults"][0].at("line").get<int>());
        CPPUNIT_ASSERT_EQUAL(8, report["faults"][0].at("column").get<int>());
    }

    void printsHelpForEachSubcommand()
    {
        CPPUNIT_ASSERT(ExitCode::Ok == run({ "--help" }));
        const std::string list = m_out.str();
        for (const auto &command : commandTable()) {
            CPPUNIT_ASSERT(list.find(command.name) != std::string::npos);
            CPPUNIT_ASSERT(ExitCode::Ok == run({ command.name, "--help" }));
            const std::string usage = std::string("Usage: greengagevalvectl ") + command.name;
            CPPUNIT_ASSERT(m_out.str().starts_with(usage));
        }
    }

    void rejectsInvalidUsage()
    {
        CPPUNIT_ASSERT(ExitCode::Usage == run({}));
        CPPUNIT_ASSERT(ExitCode::Usage == run({ "paint" }));
        CPPUNIT_ASSERT(ExitCode::Usage == run({ "check" }));
        CPPUNIT_ASSERT(ExitCode::Usage == run({ "check", "a", "b" }));
        CPPUNIT_ASSERT(ExitCode::Usage == run({ "check", "no-such-file" }));
        CPPUNIT_ASSERT(ExitCode::Usage == run({ "show", "--expected", "1" }));
        CPPUNIT_ASSERT(ExitCode::Usage == run({ "show", "--token", "a" }));
        CPPUNIT_ASSERT(ExitCode::Usage == run({ "apply", "a.toml" }));
        CPPUNIT_ASSERT(ExitCode::Usage == run({ "drain", "service", "a" }));
        CPPUNIT_ASSERT(ExitCode::Usage == run({ "drain", "region", "a", "--at", "noon" }));
    }

    void mapsResultCodesToExitCodes()
    {
        CPPUNIT_ASSERT(ExitCode::Ok == exitCodeOf(ResultCode::Ok));
        CPPUNIT_ASSERT(ExitCode::Refused == exitCodeOf(ResultCode::VersionConflict));
        CPPUNIT_ASSERT(ExitCode::Refused == exitCodeOf(ResultCode::ChangeIdReused));
        CPPUNIT_ASSERT(ExitCode::Usage == exitCodeOf(ResultCode::SettingsInvalid));
        CPPUNIT_ASSERT(ExitCode::Unreachable == exitCodeOf(ResultCode::TargetUnreachable));
        CPPUNIT_ASSERT(ExitCode::Unreachable == exitCodeOf(ResultCode::ChangeOutcomeUnknown));
        CPPUNIT_ASSERT(ExitCode::NotAuthorized == exitCodeOf(ResultCode::NotAuthorized));
    }

private:
    ExitCode run(const std::vector<std::string> &words)
    {
        m_out.str("");
        m_err.str("");
        return runCommandLine(words, "1.0", m_out, m_err);
    }

    std::ostringstream m_out;
    std::ostringstream m_err;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandLineTest);

} // namespace
