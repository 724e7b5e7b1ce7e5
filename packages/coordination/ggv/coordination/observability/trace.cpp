#include <ggv/coordination/observability/trace.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>
#include <opentracing/propagation.h>

namespace ggv {

namespace {

namespace ot = opentracing;

constexpr std::size_t TraceIdOffset = 3; //!< Offset in a traceparent header.
constexpr std::size_t SpanIdOffset = 36;
constexpr std::size_t FlagsOffset = 53;
constexpr std::size_t HeaderLength = 55;
constexpr std::uint8_t SampledFlag = 0x01;
constexpr std::uint8_t InvalidVersion = 0xff;
constexpr int HexBits = 4;
constexpr int ByteBits = 8;

std::optional<std::uint8_t> hexDigit(char c) noexcept
{
    if (c >= '0' && c <= '9')
        return static_cast<std::uint8_t>(c - '0');
    if (c >= 'a' && c <= 'f')
        return static_cast<std::uint8_t>(c - 'a' + 10);
    return std::nullopt;
}

// The text must have at least 2 * size characters.
bool parseHex(std::string_view text, std::uint8_t *bytes, std::size_t size) noexcept
{
    for (std::size_t n = 0; n < size; ++n) {
        const auto high = hexDigit(text[2 * n]);
        const auto low = hexDigit(text[2 * n + 1]);
        if (!high || !low)
            return false;
        bytes[n] = static_cast<std::uint8_t>((*high << HexBits) | *low);
    }
    return true;
}

template <std::size_t Size>
bool isZero(const std::array<std::uint8_t, Size> &bytes) noexcept
{
    return std::all_of(bytes.begin(), bytes.end(), [](std::uint8_t byte) { return byte == 0; });
}

template <std::size_t Size>
std::string toHex(const std::array<std::uint8_t, Size> &bytes)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const auto byte : bytes) {
        text += Digits[byte >> HexBits];
        text += Digits[byte & 0x0f];
    }
    return text;
}

// Versions after 00 may append fields, separated by a dash.
bool hasKnownLength(std::string_view text, std::uint8_t version) noexcept
{
    if (text.size() == HeaderLength)
        return true;
    return version > 0 && text.size() > HeaderLength && text[HeaderLength] == '-';
}

bool hasDashes(std::string_view text) noexcept
{
    return text[TraceIdOffset - 1] == '-' && text[SpanIdOffset - 1] == '-'
        && text[FlagsOffset - 1] == '-';
}

//! Lock-free generator of random ids: SplitMix64 over an atomic counter.
class IdGenerator
{
public:
    explicit IdGenerator(std::uint64_t seed) noexcept
        : m_state(seed)
    { }

    template <std::size_t Size>
    std::array<std::uint8_t, Size> next() noexcept
    {
        std::array<std::uint8_t, Size> id {};
        while (isZero(id)) {
            for (std::size_t n = 0; n < Size; n += sizeof(std::uint64_t))
                writeLittleEndian(nextRandom(), &id[n]);
        }
        return id;
    }

private:
    std::uint64_t nextRandom() noexcept
    {
        constexpr std::uint64_t Step = 0x9e3779b97f4a7c15;
        std::uint64_t value = m_state.fetch_add(Step, std::memory_order_relaxed) + Step;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
        value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
        return value ^ (value >> 31);
    }

    static void writeLittleEndian(std::uint64_t value, std::uint8_t *bytes) noexcept
    {
        for (std::size_t n = 0; n < sizeof(value); ++n)
            bytes[n] = static_cast<std::uint8_t>(value >> (ByteBits * n));
    }

    std::atomic<std::uint64_t> m_state;
};

class TraceSpanContext : public ot::SpanContext
{
public:
    explicit TraceSpanContext(const TraceParent &identity) noexcept
        : m_identity(identity)
    { }

    const TraceParent &identity() const noexcept { return m_identity; }

    void ForeachBaggageItem(
        std::function<bool(const std::string &, const std::string &)> /*visitor*/) const override
    { }

    std::unique_ptr<ot::SpanContext> Clone() const noexcept override
    {
        return std::make_unique<TraceSpanContext>(m_identity);
    }

    std::string ToTraceID() const noexcept override { return toHex(m_identity.traceId); }

    std::string ToSpanID() const noexcept override { return toHex(m_identity.spanId); }

private:
    TraceParent m_identity;
};

nlohmann::json toJson(const ot::Value &value)
{
    if (value.is<bool>())
        return value.get<bool>();
    if (value.is<double>())
        return value.get<double>();
    if (value.is<std::int64_t>())
        return value.get<std::int64_t>();
    if (value.is<std::uint64_t>())
        return value.get<std::uint64_t>();
    if (value.is<std::string>())
        return value.get<std::string>();
    if (value.is<ot::string_view>())
        return std::string(value.get<ot::string_view>());
    if (value.is<const char *>())
        return std::string(value.get<const char *>());
    return nullptr;
}

std::int64_t microseconds(ot::SystemClock::duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

//! Identity, parent, name and start times of a span.
struct SpanStart
{
    TraceParent identity;
    std::optional<TraceParent> parent;
    std::string name;
    ot::SystemTime wallTime;
    ot::SteadyTime steadyTime;
};

class RecordedSpan : public ot::Span
{
public:
    RecordedSpan(std::shared_ptr<const ot::Tracer> tracer, std::shared_ptr<SpanSink> sink,
                 SpanStart start)
        : m_tracer(std::move(tracer))
        , m_sink(std::move(sink))
        , m_spanStart(std::move(start))
        , m_context(m_spanStart.identity)
    { }

    ~RecordedSpan() override { Finish(); }
    RecordedSpan(const RecordedSpan &) = delete;
    RecordedSpan &operator=(const RecordedSpan &) = delete;

    void FinishWithOptions(const ot::FinishSpanOptions &options) noexcept override
    {
        if (std::exchange(m_finished, true) || !m_spanStart.identity.sampled)
            return;
        try {
            m_sink->add(toJsonLine(options.finish_steady_timestamp - m_spanStart.steadyTime));
        } catch (const std::exception &) {
            // Dropping the span is better than failing the request.
        }
    }

    void SetOperationName(ot::string_view name) noexcept override { m_spanStart.name = name; }

    void SetTag(ot::string_view key, const ot::Value &value) noexcept override
    {
        try {
            m_tags[std::string(key)] = toJson(value);
        } catch (const std::exception &) {
            // Dropping the tag is better than failing the request.
        }
    }

    // Baggage and logs are not part of W3C Trace Context.
    void SetBaggageItem(ot::string_view, ot::string_view) noexcept override { }
    std::string BaggageItem(ot::string_view) const noexcept override { return {}; }
    void Log(std::initializer_list<std::pair<ot::string_view, ot::Value>>) noexcept override { }
    void Log(ot::SystemTime,
             std::initializer_list<std::pair<ot::string_view, ot::Value>>) noexcept override
    { }
    void Log(ot::SystemTime,
             const std::vector<std::pair<ot::string_view, ot::Value>> &) noexcept override
    { }

    const ot::SpanContext &context() const noexcept override { return m_context; }
    const ot::Tracer &tracer() const noexcept override { return *m_tracer; }

private:
    std::string toJsonLine(ot::SteadyClock::duration duration) const
    {
        nlohmann::json span = {
            { "trace", toHex(m_spanStart.identity.traceId) },
            { "span", toHex(m_spanStart.identity.spanId) },
            { "name", m_spanStart.name },
            { "start_us", microseconds(m_spanStart.wallTime.time_since_epoch()) },
            { "duration_us",
              std::chrono::duration_cast<std::chrono::microseconds>(duration).count() },
            { "tags", m_tags },
        };
        if (m_spanStart.parent)
            span["parent"] = toHex(m_spanStart.parent->spanId);
        return span.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    std::shared_ptr<const ot::Tracer> m_tracer;
    std::shared_ptr<SpanSink> m_sink;
    SpanStart m_spanStart;
    TraceSpanContext m_context;
    nlohmann::json m_tags = nlohmann::json::object();
    bool m_finished = false;
};

class TraceContextTracer : public ot::Tracer,
                           public std::enable_shared_from_this<TraceContextTracer>
{
public:
    TraceContextTracer(std::shared_ptr<SpanSink> sink, std::uint64_t seed)
        : m_sink(std::move(sink))
        , m_ids(seed)
    { }

    std::unique_ptr<ot::Span>
    StartSpanWithOptions(ot::string_view name,
                         const ot::StartSpanOptions &options) const noexcept override
    {
        SpanStart start;
        start.name = name;
        start.wallTime = options.start_system_timestamp;
        start.steadyTime = options.start_steady_timestamp;
        if (start.wallTime == ot::SystemTime())
            start.wallTime = ot::SystemClock::now();
        if (start.steadyTime == ot::SteadyTime())
            start.steadyTime = ot::SteadyClock::now();
        start.parent = parentOf(options);
        start.identity = start.parent ? *start.parent : newTrace();
        start.identity.spanId = m_ids.next<8>();
        auto span = std::make_unique<RecordedSpan>(shared_from_this(), m_sink, std::move(start));
        for (const auto &[key, value] : options.tags)
            span->SetTag(key, value);
        return span;
    }

    ot::expected<void> Inject(const ot::SpanContext &, std::ostream &) const override
    {
        return ot::make_unexpected(ot::invalid_carrier_error);
    }

    ot::expected<void> Inject(const ot::SpanContext &context,
                              const ot::TextMapWriter &writer) const override
    {
        const auto *own = dynamic_cast<const TraceSpanContext *>(&context);
        if (own == nullptr)
            return ot::make_unexpected(ot::invalid_span_context_error);
        return writer.Set({ TraceparentHeader.data(), TraceparentHeader.size() },
                          formatTraceparent(own->identity()));
    }

    ot::expected<void> Inject(const ot::SpanContext &context,
                              const ot::HTTPHeadersWriter &writer) const override
    {
        return Inject(context, static_cast<const ot::TextMapWriter &>(writer));
    }

    ot::expected<std::unique_ptr<ot::SpanContext>> Extract(std::istream &) const override
    {
        return ot::make_unexpected(ot::invalid_carrier_error);
    }

    // Returns a null context if there is no valid header.
    ot::expected<std::unique_ptr<ot::SpanContext>>
    Extract(const ot::TextMapReader &reader) const override
    {
        std::unique_ptr<ot::SpanContext> found;
        const auto visited
            = reader.ForeachKey([&found](ot::string_view key, ot::string_view value) {
                  if (std::string_view(key.data(), key.size()) != TraceparentHeader)
                      return ot::expected<void>();
                  const auto identity = parseTraceparent({ value.data(), value.size() });
                  if (identity)
                      found = std::make_unique<TraceSpanContext>(*identity);
                  return ot::expected<void>();
              });
        if (!visited)
            return ot::make_unexpected(visited.error());
        return found;
    }

    ot::expected<std::unique_ptr<ot::SpanContext>>
    Extract(const ot::HTTPHeadersReader &reader) const override
    {
        return Extract(static_cast<const ot::TextMapReader &>(reader));
    }

private:
    static std::optional<TraceParent> parentOf(const ot::StartSpanOptions &options) noexcept
    {
        for (const auto &[type, context] : options.references) {
            if (const auto *own = dynamic_cast<const TraceSpanContext *>(context))
                return own->identity();
        }
        return std::nullopt;
    }

    TraceParent newTrace() const noexcept
    {
        TraceParent identity;
        identity.traceId = m_ids.next<16>();
        identity.sampled = true;
        return identity;
    }

    std::shared_ptr<SpanSink> m_sink;
    mutable IdGenerator m_ids;
};

//! Reads the caller's traceparent header, if present.
class CallerHeaderReader : public ot::HTTPHeadersReader
{
public:
    explicit CallerHeaderReader(const std::string *traceparent) noexcept
        : m_traceparent(traceparent)
    { }

    ot::expected<void> ForeachKey(
        std::function<ot::expected<void>(ot::string_view, ot::string_view)> visit) const override
    {
        if (m_traceparent == nullptr)
            return {};
        return visit({ TraceparentHeader.data(), TraceparentHeader.size() }, *m_traceparent);
    }

private:
    const std::string *m_traceparent;
};

class TargetHeaderWriter : public ot::HTTPHeadersWriter
{
public:
    explicit TargetHeaderWriter(std::string &value) noexcept
        : m_value(value)
    { }

    ot::expected<void> Set(ot::string_view /*key*/, ot::string_view value) const override
    {
        m_value = value;
        return {};
    }

private:
    std::string &m_value;
};

} // namespace

std::optional<TraceParent> parseTraceparent(std::string_view text) noexcept
{
    if (text.size() < HeaderLength || !hasDashes(text))
        return std::nullopt;
    TraceParent parent;
    std::uint8_t version = 0;
    std::uint8_t flags = 0;
    const bool parsed = parseHex(text, &version, 1)
        && parseHex(text.substr(TraceIdOffset), parent.traceId.data(), parent.traceId.size())
        && parseHex(text.substr(SpanIdOffset), parent.spanId.data(), parent.spanId.size())
        && parseHex(text.substr(FlagsOffset), &flags, 1);
    if (!parsed || version == InvalidVersion || !hasKnownLength(text, version))
        return std::nullopt;
    if (isZero(parent.traceId) || isZero(parent.spanId))
        return std::nullopt;
    parent.sampled = (flags & SampledFlag) != 0;
    return parent;
}

std::string formatTraceparent(const TraceParent &parent)
{
    return "00-" + toHex(parent.traceId) + "-" + toHex(parent.spanId)
        + (parent.sampled ? "-01" : "-00");
}

class FileSpanSink::Implementation
{
public:
    Implementation(std::ofstream file, std::size_t queueLength)
        : m_file(std::move(file))
        , m_queueLength(queueLength)
        , m_writer([this] { write(); })
    { }

    ~Implementation()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_wakeWriter.notify_one();
        m_writer.join();
    }

    // The lock is held only while lines are moved in or out of the queue, never during file writes.
    void add(std::string line)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_lines.size() >= m_queueLength) {
                recordDrop();
                return;
            }
            m_lines.push_back(std::move(line));
        }
        m_wakeWriter.notify_one();
    }

    void recordDrop() noexcept { m_dropped.fetch_add(1, std::memory_order_relaxed); }

    std::uint64_t dropped() const noexcept { return m_dropped.load(std::memory_order_relaxed); }

private:
    void write()
    {
        bool stopping = false;
        while (!stopping) {
            std::vector<std::string> lines;
            {
                std::unique_lock lock(m_mutex);
                m_wakeWriter.wait(lock, [this] { return m_stopping || !m_lines.empty(); });
                lines.swap(m_lines);
                stopping = m_stopping;
            }
            for (const auto &line : lines)
                m_file << line << '\n';
            m_file.flush();
            // Clears the error state, so that writing resumes once a full disk has space again.
            if (!m_file) {
                m_dropped.fetch_add(lines.size(), std::memory_order_relaxed);
                m_file.clear();
            }
        }
    }

    std::atomic<std::uint64_t> m_dropped = 0;
    std::ofstream m_file;
    const std::size_t m_queueLength;
    std::mutex m_mutex;
    std::condition_variable m_wakeWriter;
    std::vector<std::string> m_lines;
    bool m_stopping = false;
    std::thread m_writer; // Must be the last member: its thread uses the others.
};

FileSpanSink::FileSpanSink(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{ }

FileSpanSink::~FileSpanSink() = default;

Result<std::shared_ptr<FileSpanSink>> FileSpanSink::open(const std::string &path,
                                                         std::size_t queueLength)
{
    std::ofstream file(path, std::ios::app);
    if (!file)
        return Error(ResultCode::StorageIo, "cannot open trace file " + path);
    auto implementation = std::make_unique<Implementation>(std::move(file), queueLength);
    return std::shared_ptr<FileSpanSink>(new FileSpanSink(std::move(implementation)));
}

void FileSpanSink::add(std::string line) noexcept
{
    try {
        m_implementation->add(std::move(line));
    } catch (const std::exception &) {
        m_implementation->recordDrop();
    }
}

std::uint64_t FileSpanSink::dropped() const noexcept { return m_implementation->dropped(); }

std::shared_ptr<ot::Tracer> createTracer(std::shared_ptr<SpanSink> sink, std::uint64_t seed)
{
    return std::make_shared<TraceContextTracer>(std::move(sink), seed);
}

RequestTrace::RequestTrace(const ot::Tracer *tracer, const std::string *traceparent)
    : m_tracer(tracer)
{
    if (m_tracer == nullptr)
        return;
    const CallerHeaderReader header(traceparent);
    const auto caller = m_tracer->Extract(header);
    const ot::SpanContext *parent = caller ? caller->get() : nullptr;
    m_continuesCallerTrace = parent != nullptr;
    m_request = m_tracer->StartSpan("request", { ot::ChildOf(parent) });
}

void RequestTrace::beginHop(std::string_view name)
{
    endHop();
    if (m_request)
        m_hop = m_tracer->StartSpan({ name.data(), name.size() },
                                    { ot::ChildOf(&m_request->context()) });
}

void RequestTrace::tagHop(std::string_view key, const std::string &value)
{
    if (m_hop)
        m_hop->SetTag({ key.data(), key.size() }, value);
}

void RequestTrace::endHop() noexcept { m_hop.reset(); }

void RequestTrace::endRequest(ResultCode code, Verdict verdict)
{
    if (!m_request)
        return;
    m_request->SetTag("result", std::string(resultCodeName(code)));
    m_request->SetTag("verdict", std::string(verdictName(verdict)));
    m_request->Finish();
}

std::string RequestTrace::traceparent() const
{
    std::string value;
    const auto &span = m_hop ? m_hop : m_request;
    if (span)
        (void)m_tracer->Inject(span->context(), TargetHeaderWriter(value));
    return value;
}

} // namespace ggv
