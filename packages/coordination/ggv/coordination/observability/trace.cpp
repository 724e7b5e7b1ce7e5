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

constexpr std::size_t TraceIdAt = 3; //!< Positions in a traceparent header.
constexpr std::size_t SpanIdAt = 36;
constexpr std::size_t FlagsAt = 53;
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

// The text has twice as many digits as there are bytes.
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
std::string hexOf(const std::array<std::uint8_t, Size> &bytes)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const auto byte : bytes) {
        text += Digits[byte >> HexBits];
        text += Digits[byte & 0x0f];
    }
    return text;
}

// A later version may have more fields, but only after a dash.
bool hasKnownLength(std::string_view text, std::uint8_t version) noexcept
{
    if (text.size() == HeaderLength)
        return true;
    return version > 0 && text.size() > HeaderLength && text[HeaderLength] == '-';
}

bool hasDashes(std::string_view text) noexcept
{
    return text[TraceIdAt - 1] == '-' && text[SpanIdAt - 1] == '-' && text[FlagsAt - 1] == '-';
}

//! Identifiers without a lock: SplitMix64 over a counter.
class IdSource
{
public:
    explicit IdSource(std::uint64_t seed) noexcept
        : m_state(seed)
    { }

    template <std::size_t Size>
    std::array<std::uint8_t, Size> next() noexcept
    {
        std::array<std::uint8_t, Size> id {};
        while (isZero(id)) {
            for (std::size_t n = 0; n < Size; n += sizeof(std::uint64_t))
                put(draw(), &id[n]);
        }
        return id;
    }

private:
    std::uint64_t draw() noexcept
    {
        constexpr std::uint64_t Step = 0x9e3779b97f4a7c15;
        std::uint64_t value = m_state.fetch_add(Step, std::memory_order_relaxed) + Step;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
        value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
        return value ^ (value >> 31);
    }

    static void put(std::uint64_t value, std::uint8_t *bytes) noexcept
    {
        for (std::size_t n = 0; n < sizeof(value); ++n)
            bytes[n] = static_cast<std::uint8_t>(value >> (ByteBits * n));
    }

    std::atomic<std::uint64_t> m_state;
};

class Context : public ot::SpanContext
{
public:
    explicit Context(const TraceParent &place) noexcept
        : m_place(place)
    { }

    const TraceParent &place() const noexcept { return m_place; }

    void ForeachBaggageItem(
        std::function<bool(const std::string &, const std::string &)> /*visitor*/) const override
    { }

    std::unique_ptr<ot::SpanContext> Clone() const noexcept override
    {
        return std::make_unique<Context>(m_place);
    }

    std::string ToTraceID() const noexcept override { return hexOf(m_place.traceId); }

    std::string ToSpanID() const noexcept override { return hexOf(m_place.spanId); }

private:
    TraceParent m_place;
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

//! Where a span is and when it began.
struct SpanStart
{
    TraceParent place;
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
        , m_start(std::move(start))
        , m_context(m_start.place)
    { }

    ~RecordedSpan() override { Finish(); }
    RecordedSpan(const RecordedSpan &) = delete;
    RecordedSpan &operator=(const RecordedSpan &) = delete;

    void FinishWithOptions(const ot::FinishSpanOptions &options) noexcept override
    {
        if (std::exchange(m_finished, true) || !m_start.place.sampled)
            return;
        try {
            m_sink->add(line(options.finish_steady_timestamp - m_start.steadyTime));
        } catch (const std::exception &) {
            // A span is not worth a request.
        }
    }

    void SetOperationName(ot::string_view name) noexcept override { m_start.name = name; }

    void SetTag(ot::string_view key, const ot::Value &value) noexcept override
    {
        try {
            m_tags[std::string(key)] = toJson(value);
        } catch (const std::exception &) {
            // A tag is not worth a request.
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
    std::string line(ot::SteadyClock::duration duration) const
    {
        nlohmann::json span = {
            { "trace", hexOf(m_start.place.traceId) },
            { "span", hexOf(m_start.place.spanId) },
            { "name", m_start.name },
            { "start_us", microseconds(m_start.wallTime.time_since_epoch()) },
            { "duration_us",
              std::chrono::duration_cast<std::chrono::microseconds>(duration).count() },
            { "tags", m_tags },
        };
        if (m_start.parent)
            span["parent"] = hexOf(m_start.parent->spanId);
        return span.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }

    std::shared_ptr<const ot::Tracer> m_tracer;
    std::shared_ptr<SpanSink> m_sink;
    SpanStart m_start;
    Context m_context;
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
        start.place = start.parent ? *start.parent : newTrace();
        start.place.spanId = m_ids.next<8>();
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
        const auto *own = dynamic_cast<const Context *>(&context);
        if (own == nullptr)
            return ot::make_unexpected(ot::invalid_span_context_error);
        return writer.Set({ TraceparentHeader.data(), TraceparentHeader.size() },
                          formatTraceparent(own->place()));
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

    // An empty context means that there is no valid header.
    ot::expected<std::unique_ptr<ot::SpanContext>>
    Extract(const ot::TextMapReader &reader) const override
    {
        std::unique_ptr<ot::SpanContext> found;
        const auto visited
            = reader.ForeachKey([&found](ot::string_view key, ot::string_view value) {
                  if (std::string_view(key.data(), key.size()) != TraceparentHeader)
                      return ot::expected<void>();
                  const auto place = parseTraceparent({ value.data(), value.size() });
                  if (place)
                      found = std::make_unique<Context>(*place);
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
            if (const auto *own = dynamic_cast<const Context *>(context))
                return own->place();
        }
        return std::nullopt;
    }

    TraceParent newTrace() const noexcept
    {
        TraceParent place;
        place.traceId = m_ids.next<16>();
        place.sampled = true;
        return place;
    }

    std::shared_ptr<SpanSink> m_sink;
    mutable IdSource m_ids;
};

//! Reads the one header that the caller may have sent.
class CallerHeader : public ot::HTTPHeadersReader
{
public:
    explicit CallerHeader(const std::string *traceparent) noexcept
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

class TargetHeader : public ot::HTTPHeadersWriter
{
public:
    explicit TargetHeader(std::string &value) noexcept
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
        && parseHex(text.substr(TraceIdAt), parent.traceId.data(), parent.traceId.size())
        && parseHex(text.substr(SpanIdAt), parent.spanId.data(), parent.spanId.size())
        && parseHex(text.substr(FlagsAt), &flags, 1);
    if (!parsed || version == InvalidVersion || !hasKnownLength(text, version))
        return std::nullopt;
    if (isZero(parent.traceId) || isZero(parent.spanId))
        return std::nullopt;
    parent.sampled = (flags & SampledFlag) != 0;
    return parent;
}

std::string formatTraceparent(const TraceParent &parent)
{
    return "00-" + hexOf(parent.traceId) + "-" + hexOf(parent.spanId)
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
        m_wake.notify_one();
        m_writer.join();
    }

    // The lock is held only to move a line in or to take all lines out, never while writing.
    void add(std::string line)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_lines.size() >= m_queueLength) {
                countDrop();
                return;
            }
            m_lines.push_back(std::move(line));
        }
        m_wake.notify_one();
    }

    void countDrop() noexcept { m_dropped.fetch_add(1, std::memory_order_relaxed); }

    std::uint64_t dropped() const noexcept { return m_dropped.load(std::memory_order_relaxed); }

private:
    void write()
    {
        bool stopping = false;
        while (!stopping) {
            std::vector<std::string> lines;
            {
                std::unique_lock lock(m_mutex);
                m_wake.wait(lock, [this] { return m_stopping || !m_lines.empty(); });
                lines.swap(m_lines);
                stopping = m_stopping;
            }
            for (const auto &line : lines)
                m_file << line << '\n';
            m_file.flush();
            // A full disk must not end the writing for good.
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
    std::condition_variable m_wake;
    std::vector<std::string> m_lines;
    bool m_stopping = false;
    std::thread m_writer; // Last: it uses the other members.
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
        m_implementation->countDrop();
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
    const CallerHeader header(traceparent);
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
        (void)m_tracer->Inject(span->context(), TargetHeader(value));
    return value;
}

} // namespace ggv
