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

//! Header by which W3C Trace Context passes a trace on.
inline constexpr std::string_view TraceparentHeader = "traceparent";
//! Header with the vendors' part of a trace; meaningless without a valid traceparent.
inline constexpr std::string_view TracestateHeader = "tracestate";

//! Place of a span in a trace.
struct TraceParent
{
    std::array<std::uint8_t, 16> traceId {};
    std::array<std::uint8_t, 8> spanId {};
    bool sampled = false; //!< The spans of the trace are recorded.

    [[nodiscard]] auto operator<=>(const TraceParent &) const = default;
};

/**
 * @brief Parses a traceparent header strictly.
 * @param text Value of the header.
 * @return The parent, or nothing if the value is invalid. Of a later version than 00 only the part
 * that is known is read.
 */
[[nodiscard]] std::optional<TraceParent> parseTraceparent(std::string_view text) noexcept;

/**
 * @brief Formats a traceparent header.
 * @param parent The span.
 * @return Value in version 00.
 */
[[nodiscard]] std::string formatTraceparent(const TraceParent &parent);

/**
 * @brief Takes finished spans, one JSON object each; called by any thread and must not block.
 */
class SpanSink
{
public:
    virtual ~SpanSink() = default;
    //! Takes a span; the line has no line end.
    virtual void add(std::string line) noexcept = 0;
};

/**
 * @brief Writes spans to a file on a thread of its own.
 *
 * Spans that find the queue full are dropped and counted.
 */
class FileSpanSink : public SpanSink
{
public:
    //! Spans that wait for the writer at most.
    static constexpr std::size_t DefaultQueueLength = 8192;

    /**
     * @brief Opens the file for appending and starts the writer.
     * @param path The file.
     * @param queueLength Spans that wait for the writer at most.
     * @return The sink, or StorageIo if the file cannot be opened.
     */
    [[nodiscard]] static Result<std::shared_ptr<FileSpanSink>>
    open(const std::string &path, std::size_t queueLength = DefaultQueueLength);
    //! Writes what is queued and closes the file.
    ~FileSpanSink() override;
    FileSpanSink(const FileSpanSink &) = delete;
    FileSpanSink &operator=(const FileSpanSink &) = delete;

    void add(std::string line) noexcept override;
    //! @return Spans that were not written.
    [[nodiscard]] std::uint64_t dropped() const noexcept;

private:
    class Implementation;
    explicit FileSpanSink(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

/**
 * @brief Creates a tracer that carries spans in W3C Trace Context headers.
 * @param sink Takes the finished spans of sampled traces.
 * @param seed Of the identifiers; different for each process.
 * @return The tracer; usable from any thread. A span belongs to one thread at a time.
 */
[[nodiscard]] std::shared_ptr<opentracing::Tracer> createTracer(std::shared_ptr<SpanSink> sink,
                                                                std::uint64_t seed);

/**
 * @brief Spans of one request on an entry host: one for the request and one for the current hop.
 *
 * Without a tracer nothing is done.
 */
class RequestTrace
{
public:
    /**
     * @brief Begins the span of the request.
     * @param tracer The tracer, or null.
     * @param traceparent The caller's header, or null; an invalid one begins a new trace.
     */
    RequestTrace(const opentracing::Tracer *tracer, const std::string *traceparent);

    //! Begins a hop and ends the one before.
    void beginHop(std::string_view name);
    //! Sets a tag of the current hop.
    void tagHop(std::string_view key, const std::string &value);
    //! Ends the current hop if there is one.
    void endHop() noexcept;
    //! Ends the request's span; a hop may go on. Later calls have no effect.
    void endRequest(ResultCode code, Verdict verdict);
    //! @return Header for a target: of the current hop, else of the request; empty without tracer.
    [[nodiscard]] std::string traceparent() const;
    //! @return True if the caller's header began this trace.
    [[nodiscard]] bool continuesCallerTrace() const noexcept { return m_continuesCallerTrace; }

private:
    const opentracing::Tracer *m_tracer;
    std::unique_ptr<opentracing::Span> m_request;
    std::unique_ptr<opentracing::Span> m_hop;
    bool m_continuesCallerTrace = false;
};

} // namespace ggv
