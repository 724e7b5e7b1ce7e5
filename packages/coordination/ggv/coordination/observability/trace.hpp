#pragma once

#include <ggv/state/core/result.hpp>
#include <ggv/state/core/result_code.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <opentracing/tracer.h>

namespace ggv {

//! Header that propagates a trace according to W3C Trace Context.
inline constexpr std::string_view TraceparentHeader = "traceparent";
//! Header with vendor-specific trace data; ignored without a valid traceparent header.
inline constexpr std::string_view TracestateHeader = "tracestate";

//! Trace id, span id and flags of a span, as in a traceparent header.
struct TraceParent
{
    std::array<std::uint8_t, 16> traceId {};
    std::array<std::uint8_t, 8> spanId {};
    bool sampled = false; //!< True if the spans of the trace are recorded.

    [[nodiscard]] auto operator<=>(const TraceParent &) const = default;
};

/**
 * @brief Parses a traceparent header; rejects every deviation from the format.
 * @param text Value of the header.
 * @return The parent, or std::nullopt if the value is invalid. For versions after 00, only the
 * fields of version 00 are read.
 */
[[nodiscard]] std::optional<TraceParent> parseTraceparent(std::string_view text) noexcept;

/**
 * @brief Formats a traceparent header.
 * @param parent The span.
 * @return The header value, in version 00.
 */
[[nodiscard]] std::string formatTraceparent(const TraceParent &parent);

/**
 * @brief Receives finished spans as JSON objects. Called from any thread; must not block.
 */
class SpanSink
{
public:
    virtual ~SpanSink() = default;
    //! Adds a span. The line contains no line break.
    virtual void add(std::string line) noexcept = 0;
};

/**
 * @brief Writes spans to a file on a dedicated thread.
 *
 * Spans are dropped and counted if the queue is full or the write fails.
 */
class FileSpanSink : public SpanSink
{
public:
    //! Default maximum number of queued spans.
    static constexpr std::size_t DefaultQueueLength = 8192;

    /**
     * @brief Opens the file for appending and starts the writer.
     * @param path Path of the file.
     * @param queueLength Maximum number of queued spans.
     * @return The sink, or StorageIo if the file cannot be opened.
     */
    [[nodiscard]] static Result<std::shared_ptr<FileSpanSink>>
    open(const std::string &path, std::size_t queueLength = DefaultQueueLength);
    //! Writes the queued spans and closes the file.
    ~FileSpanSink() override;
    FileSpanSink(const FileSpanSink &) = delete;
    FileSpanSink &operator=(const FileSpanSink &) = delete;

    void add(std::string line) noexcept override;
    //! Returns the number of spans that were not written.
    [[nodiscard]] std::uint64_t dropped() const noexcept;

private:
    class Implementation;
    explicit FileSpanSink(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

/**
 * @brief Creates a tracer that propagates spans in W3C Trace Context headers.
 * @param sink Receives the finished spans of sampled traces.
 * @param seed Seed of the span and trace ids; must differ between processes.
 * @return The tracer, which is thread-safe. A span must be used by one thread at a time.
 */
[[nodiscard]] std::shared_ptr<opentracing::Tracer> createTracer(std::shared_ptr<SpanSink> sink,
                                                                std::uint64_t seed);

/**
 * @brief Spans of a request on an entry host: one for the request and one for the current hop.
 *
 * Without a tracer, all functions have no effect.
 */
class RequestTrace
{
public:
    /**
     * @brief Begins the span of the request.
     * @param tracer The tracer, or null.
     * @param traceparent The caller's header, or null. Without a valid header, a new trace begins.
     */
    RequestTrace(const opentracing::Tracer *tracer, const std::string *traceparent);

    //! Ends the current hop and begins a new one.
    void beginHop(std::string_view name);
    //! Sets a tag on the span of the current hop.
    void tagHop(std::string_view key, const std::string &value);
    //! Ends the current hop, if any.
    void endHop() noexcept;
    //! Ends the span of the request; the current hop may continue. Further calls have no effect.
    void endRequest(ResultCode code, Verdict verdict);
    //! Returns the traceparent header for a target: that of the current hop, else of the request.
    //! Empty without a tracer.
    [[nodiscard]] std::string traceparent() const;
    //! Returns true if the request continues the trace of the caller's header.
    [[nodiscard]] bool continuesCallerTrace() const noexcept { return m_continuesCallerTrace; }

private:
    const opentracing::Tracer *m_tracer;
    std::unique_ptr<opentracing::Span> m_request;
    std::unique_ptr<opentracing::Span> m_hop;
    bool m_continuesCallerTrace = false;
};

} // namespace ggv
