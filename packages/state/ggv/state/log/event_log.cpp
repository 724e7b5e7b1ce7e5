#include <ggv/state/log/event_log.hpp>

#include <ggv/state/core/time.hpp>

#include <atomic>
#include <memory>
#include <thread>

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace ggv {

namespace {

constexpr std::size_t MaxQueuedLines = 1024;
constexpr auto FlushTime = std::chrono::milliseconds(300);
constexpr auto FlushPoll = std::chrono::milliseconds(10);

//! Logger of the process; never destroyed, because the writer thread may be blocked on a full pipe
//! at exit.
struct Writer
{
    std::string process;
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
    std::uint64_t reportedDrops = 0;
};

std::atomic<Writer *> currentWriter { nullptr };

std::string_view levelName(LogLevel level) noexcept
{
    switch (level) {
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "unlisted";
}

std::string formatLine(std::string_view process, LogLevel level, std::string_view event,
                       std::initializer_list<LogField> fields)
{
    nlohmann::ordered_json line;
    line["time_ms"] = wallClockNow();
    line["uptime_us"] = monotonicNow().time_since_epoch().count();
    line["process"] = process;
    line["level"] = levelName(level);
    line["event"] = event;
    for (const auto &[name, value] : fields) {
        std::visit([&line, field = std::string(name)](const auto &it) { line[field] = it; }, value);
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void startEventLog(std::string process)
{
    auto writer = std::make_unique<Writer>();
    writer->process = std::move(process);
    writer->pool = std::make_shared<spdlog::details::thread_pool>(MaxQueuedLines, 1);
    writer->logger = std::make_shared<spdlog::async_logger>(
        "events", std::make_shared<spdlog::sinks::stdout_sink_mt>(), writer->pool,
        spdlog::async_overflow_policy::overrun_oldest);
    writer->logger->set_pattern("%v");
    currentWriter.store(writer.release());
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    auto *writer = currentWriter.load();
    if (writer == nullptr) {
        spdlog::default_logger_raw()->info(formatLine("", level, event, fields));
        return;
    }
    const std::uint64_t drops = droppedLogLines();
    if (drops > writer->reportedDrops) {
        const auto lost = drops - writer->reportedDrops;
        writer->reportedDrops = drops;
        writer->logger->info(formatLine(writer->process, LogLevel::Warning, "log-lines-dropped",
                                        { { "lines", lost } }));
    }
    writer->logger->info(formatLine(writer->process, level, event, fields));
}

std::uint64_t droppedLogLines() noexcept
{
    const auto *writer = currentWriter.load();
    return writer == nullptr ? 0 : writer->pool->overrun_counter();
}

void flushEventLog() noexcept
{
    const auto *writer = currentWriter.load();
    if (writer == nullptr)
        return;
    const Instant end = monotonicNow() + FlushTime;
    while (writer->pool->queue_size() > 0 && monotonicNow() < end)
        std::this_thread::sleep_for(FlushPoll);
}

} // namespace ggv
