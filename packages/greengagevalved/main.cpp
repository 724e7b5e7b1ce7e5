#include <ggv/coordination/node/node.hpp>
#include <ggv/coordination/version.hpp>
#include <ggv/platform/platform_process.hpp>
#include <ggv/state/log/event_log.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <popt.h>

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailure = 3;
constexpr int ExitSecondSignal = 4;
constexpr auto ShutdownPollInterval = std::chrono::milliseconds(50);

//! Parsed command line.
struct Arguments
{
    std::string settingsPath;
    bool onPlatform = false;
    bool initialize = false;
    bool checkOnly = false;
    bool showVersion = false;
};

// Returns false and prints the error to stderr if the command line is invalid.
bool parseArguments(int argc, const char **argv, Arguments &arguments)
{
    char *settings = nullptr;
    int onPlatform = 0;
    int initialize = 0;
    int check = 0;
    int version = 0;
    const poptOption options[]
        = { { "settings", 's', POPT_ARG_STRING, &settings, 0, "Settings file", "FILE" },
            { "platform", 0, POPT_ARG_NONE, &onPlatform, 0,
              "Settings are in the platform's format; without --settings, their path is "
              "read from the platform's environment variable",
              nullptr },
            { "initialize", 0, POPT_ARG_NONE, &initialize, 0,
              "Create a new cluster; only for the first start of its hosts", nullptr },
            { "check", 0, POPT_ARG_NONE, &check, 0, "Validate the settings and exit", nullptr },
            { "version", 0, POPT_ARG_NONE, &version, 0, "Print the version and exit", nullptr },
            POPT_AUTOHELP POPT_TABLEEND };
    poptContext context = poptGetContext("greengagevalved", argc, argv, options, 0);
    const int status = poptGetNextOpt(context);
    const bool hasExtraArgument = poptPeekArg(context) != nullptr;
    if (status < -1)
        std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(status) << "\n";
    else if (hasExtraArgument)
        std::cerr << "unexpected argument " << poptPeekArg(context) << "\n";
    const char *platformPath
        = onPlatform != 0 ? std::getenv(ggv::platform::SettingsVariable) : nullptr;
    if (settings != nullptr)
        arguments.settingsPath = settings;
    else if (platformPath != nullptr)
        arguments.settingsPath = platformPath;
    arguments
        = { arguments.settingsPath, onPlatform != 0, initialize != 0, check != 0, version != 0 };
    poptFreeContext(context);
    std::free(settings); // NOLINT: allocated by popt.
    if (status < -1 || hasExtraArgument)
        return false;
    if (arguments.settingsPath.empty() && !arguments.showVersion)
        std::cerr << "no settings file given; use --settings FILE\n";
    return !arguments.settingsPath.empty() || arguments.showVersion;
}

//! Shuts down gracefully on the first SIGINT or SIGTERM and exits immediately on the second.
class ShutdownSignalHandler
{
public:
    ShutdownSignalHandler(boost::asio::io_context &context, ggv::Node &node)
        : m_context(context)
        , m_signals(context, SIGINT, SIGTERM)
        , m_timer(context)
        , m_node(node)
    {
        awaitSignal();
    }

private:
    void awaitSignal()
    {
        m_signals.async_wait([this](boost::system::error_code ec, int) {
            if (ec)
                return;
            if (m_shuttingDown) {
                ggv::logEvent(
                    ggv::LogLevel::Error, "shutdown-forced",
                    { { "reason", "second signal received; requests in flight are aborted" } });
                ggv::flushEventLog();
                std::_Exit(ExitSecondSignal);
            }
            m_shuttingDown = true;
            m_node.beginShutdown();
            pollShutdown();
            awaitSignal();
        });
    }

    void pollShutdown()
    {
        if (m_node.continueShutdown() == ggv::ShutdownPhase::Finished) {
            m_context.stop();
            return;
        }
        m_timer.expires_after(ShutdownPollInterval);
        m_timer.async_wait([this](boost::system::error_code ec) {
            if (!ec)
                pollShutdown();
        });
    }

    boost::asio::io_context &m_context;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    ggv::Node &m_node;
    bool m_shuttingDown = false;
};

int runProcess(const Arguments &arguments)
{
    if (arguments.onPlatform)
        return arguments.checkOnly ? ggv::platform::checkPlatformSettings(arguments.settingsPath)
                                   : ggv::platform::runPlatformProcess(arguments.settingsPath);
    auto settings = ggv::loadSettings(arguments.settingsPath);
    if (!settings) {
        std::cerr << arguments.settingsPath << ":\n" << settings.error().what() << "\n";
        return ExitUsage;
    }
    if (arguments.checkOnly) {
        std::cout << "settings are valid\n";
        return 0;
    }
    ggv::startEventLog(settings.value().host.text());
    ggv::logEvent(ggv::LogLevel::Info, "process-started",
                  { { "settings", arguments.settingsPath } });
    auto node = ggv::Node::start({ settings.value(), arguments.initialize });
    if (!node) {
        ggv::logEvent(ggv::LogLevel::Error, "start-failed", { { "reason", node.error().what() } });
        ggv::flushEventLog();
        return ExitFailure;
    }
    boost::asio::io_context context(1);
    const ShutdownSignalHandler signalHandler(context, *node.value());
    context.run();
    ggv::logEvent(ggv::LogLevel::Info, "process-ended", { { "exit_code", 0 } });
    ggv::flushEventLog();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    Arguments arguments;
    if (!parseArguments(argc, const_cast<const char **>(argv), arguments)) // NOLINT: popt's type.
        return ExitUsage;
    if (arguments.showVersion) {
        std::cout << "greengagevalved " << ggv::softwareVersion() << "\n";
        return 0;
    }
    try {
        return runProcess(arguments);
    } catch (const std::exception &error) {
        ggv::logEvent(ggv::LogLevel::Error, "process-failed", { { "reason", error.what() } });
        ggv::flushEventLog();
        return ExitFailure;
    }
}
