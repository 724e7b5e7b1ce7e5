#include <ggv/state/log/event_log.hpp>
#include <ggv/state/log/logged_event.hpp>

#include <array>
#include <chrono>
#include <string>

#include <sys/wait.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

namespace {

constexpr int Lines = 50'000;
//! Much longer than logging all lines takes if it does not block on the unread pipe, and much
//! shorter than a blocked writer would take.
constexpr int MaxSeconds = 20;
constexpr int LinesDroppedStatus = 0;
constexpr int NothingDroppedStatus = 1;

std::string readToEnd(int fd)
{
    std::string all;
    std::array<char, 4096> chunk;
    for (ssize_t n = 0; (n = ::read(fd, chunk.data(), chunk.size())) > 0;)
        all.append(chunk.data(), static_cast<std::size_t>(n));
    return all;
}

// Runs in the child process; its standard output is a pipe that is not read while it logs.
[[noreturn]] void logWithoutReader(int output, int done, int resume)
{
    ::alarm(MaxSeconds);
    ::dup2(output, STDOUT_FILENO);
    ggv::startEventLog("p");
    for (int n = 0; n < Lines; ++n)
        ggv::logEvent(ggv::LogLevel::Info, "numbered", { { "number", n } });
    const auto dropped = ggv::droppedLogLines();
    ::close(done);
    std::array<char, 1> wait;
    (void)::read(resume, wait.data(), wait.size());
    ggv::flushEventLog();
    ggv::logEvent(ggv::LogLevel::Info, "last");
    ggv::flushEventLog();
    ::_exit(dropped > 0 ? LinesDroppedStatus : NothingDroppedStatus);
}

class EventLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventLogTest);
    CPPUNIT_TEST(fullPipeDoesNotBlockLogging);
    CPPUNIT_TEST_SUITE_END();

public:
    void fullPipeDoesNotBlockLogging()
    {
        std::array<int, 2> output {};
        std::array<int, 2> done {};
        std::array<int, 2> resume {};
        CPPUNIT_ASSERT(::pipe(output.data()) == 0 && ::pipe(done.data()) == 0
                       && ::pipe(resume.data()) == 0);
        const pid_t child = ::fork();
        if (child == 0) {
            ::close(done[0]);
            ::close(resume[1]);
            ::close(output[0]);
            logWithoutReader(output[1], done[1], resume[0]);
        }
        ::close(output[1]);
        ::close(done[1]);
        ::close(resume[0]);
        (void)readToEnd(done[0]); // Returns once all lines were logged or the child exits.
        ::close(resume[1]);
        const std::string text = readToEnd(output[0]);
        int status = 0;
        CPPUNIT_ASSERT_EQUAL(child, ::waitpid(child, &status, 0));
        CPPUNIT_ASSERT(WIFEXITED(status));
        CPPUNIT_ASSERT_EQUAL(LinesDroppedStatus, WEXITSTATUS(status));
        assertCompleteLines(text);
    }

private:
    // Checks that no line is truncated and that a line reports how many were dropped.
    static void assertCompleteLines(const std::string &text)
    {
        std::size_t numbered = 0;
        std::size_t begin = 0;
        std::string lastEvent;
        std::int64_t droppedLines = 0;
        while (begin < text.size()) {
            const auto end = text.find('\n', begin);
            CPPUNIT_ASSERT(end != std::string::npos);
            const auto event = ggv::LoggedEvent::parse(text.substr(begin, end - begin));
            CPPUNIT_ASSERT(event.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string("p"), event->process);
            numbered += event->event == "numbered" ? 1 : 0;
            droppedLines += event->number("lines");
            lastEvent = event->event;
            begin = end + 1;
        }
        CPPUNIT_ASSERT_EQUAL(std::string("last"), lastEvent);
        CPPUNIT_ASSERT(numbered < Lines);
        CPPUNIT_ASSERT(droppedLines > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

} // namespace
