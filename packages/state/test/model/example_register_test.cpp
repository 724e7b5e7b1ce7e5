#include <ggv/state/model/register_toml.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>

namespace {

using namespace ggv;

constexpr unsigned MutatedFiles = 1500; // Mutated files per example.
constexpr unsigned MaximumMutations = 4; // Mutations per file.
constexpr unsigned Seed = 20261203;

struct Example
{
    const char *file;
    std::size_t targets;
    std::uint32_t linkMegabits;
    Duration linkDelay;
};

const std::vector<Example> Examples = {
    { "port-louis.toml", 36, 280, std::chrono::milliseconds(12) },
    { "zampaviva.toml", 32, 4000, std::chrono::milliseconds(35) },
};

std::string readExample(const char *file)
{
    const auto root
        = std::filesystem::path(__FILE__).parent_path().parent_path().parent_path().parent_path();
    std::ifstream stream(root.parent_path() / "examples" / file);
    CPPUNIT_ASSERT_MESSAGE(file, stream.good());
    return { std::istreambuf_iterator<char>(stream), {} };
}

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines(1);
    for (const char c : text) {
        if (c == '\n')
            lines.emplace_back();
        else
            lines.back() += c;
    }
    return lines;
}

// Overwrites, removes, duplicates or truncates a few bytes.
std::string mutate(std::string text, std::mt19937 &random)
{
    const auto randomBelow
        = [&](std::size_t bound) { return random() % std::max<std::size_t>(bound, 1); };
    static constexpr std::string_view Syntax = "[]{}=\"'\\\n.,#-+:T0_\0\x80";
    for (auto left = 1 + randomBelow(MaximumMutations); left > 0 && !text.empty(); --left) {
        const auto at = randomBelow(text.size());
        const auto span = text.substr(at, 1 + randomBelow(40));
        switch (randomBelow(5)) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text[at] = Syntax[randomBelow(Syntax.size())];
            break;
        case 2:
            text.erase(at, span.size());
            break;
        case 3:
            text.insert(randomBelow(text.size()), span);
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

void checkPositions(const std::string &text, const std::vector<RegisterFault> &faults)
{
    const auto lines = splitLines(text);
    for (const auto &it : faults) {
        const auto where
            = std::to_string(it.line) + ':' + std::to_string(it.column) + ' ' + it.message;
        CPPUNIT_ASSERT_MESSAGE(where, it.line >= 1 && it.line <= lines.size());
        CPPUNIT_ASSERT_MESSAGE(where, it.column >= 1 && it.column <= lines[it.line - 1].size() + 1);
        CPPUNIT_ASSERT_MESSAGE(where, !it.message.empty());
    }
    CPPUNIT_ASSERT(std::is_sorted(faults.begin(), faults.end(), [](const auto &a, const auto &b) {
        return std::tie(a.line, a.column) < std::tie(b.line, b.column);
    }));
}

// Checks that accepted content is valid and unchanged after formatting and parsing it again.
void checkAccepted(const std::string &text, const RegisterContent &content)
{
    const auto created = Register::create(1, content);
    CPPUNIT_ASSERT_MESSAGE(text, created);
    const auto reparsed = parseRegisterToml(formatRegisterToml(created.value().content()));
    CPPUNIT_ASSERT_MESSAGE(text, reparsed.faults.empty());
    CPPUNIT_ASSERT_MESSAGE(text, reparsed.content == created.value().content());
}

class ExampleRegisterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExampleRegisterTest);
    CPPUNIT_TEST(examplesMatchDeploymentSizes);
    CPPUNIT_TEST(mutatedFilesAreAcceptedOrRejected);
    CPPUNIT_TEST(deeplyNestedValuesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void examplesMatchDeploymentSizes()
    {
        for (const auto &it : Examples) {
            const auto document = parseRegisterToml(readExample(it.file));
            CPPUNIT_ASSERT_MESSAGE(it.file, document.faults.empty());
            const auto &content = document.content;
            const auto hasDisk = [](const EntryHost &host) { return host.hasDisk; };
            const auto disks = std::count_if(content.hosts.begin(), content.hosts.end(), hasDisk);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, content.regions.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 6 }, content.domains.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 8 }, content.hosts.size());
            CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 5 }, disks);
            CPPUNIT_ASSERT_EQUAL(it.targets, content.targets.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, content.links.size());
            CPPUNIT_ASSERT_EQUAL(it.linkMegabits, content.links[0].megabitsPerSecond);
            CPPUNIT_ASSERT(it.linkDelay == content.links[0].oneWayDelay);
            checkAccepted(it.file, content);
        }
    }

    void mutatedFilesAreAcceptedOrRejected()
    {
        std::mt19937 random(Seed);
        for (const auto &it : Examples) {
            const auto original = readExample(it.file);
            std::size_t accepted = 0;
            for (unsigned i = 0; i < MutatedFiles; ++i) {
                const auto text = mutate(original, random);
                const auto document = parseRegisterToml(text);
                checkPositions(text, document.faults);
                if (!document.faults.empty())
                    continue;
                checkAccepted(text, document.content);
                ++accepted;
            }
            CPPUNIT_ASSERT(accepted > 0);
            CPPUNIT_ASSERT(accepted < MutatedFiles);
        }
    }

    void deeplyNestedValuesAreRejected()
    {
        constexpr std::size_t Depth = 100'000;
        for (const char *opening : { "[", "{a=" }) {
            std::string text = "region = ";
            for (std::size_t i = 0; i < Depth; ++i)
                text += opening;
            const auto faults = parseRegisterToml(text).faults;
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, faults.size());
            checkPositions(text, faults);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExampleRegisterTest);

} // namespace
