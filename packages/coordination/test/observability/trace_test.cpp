#include <ggv/coordination/observability/trace.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <cstdio>
#include <fstream>
#include <set>
#include <string>
#include <vector>

#include <unistd.h>

namespace {

using namespace ggv;

constexpr std::uint64_t Seed = 7;
const std::string Valid = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
const std::string TraceId = "0af7651916cd43dd8448eb211c80319c";
const std::string CallerSpan = "b7ad6b7169203331";

class RecordingSpanSink : public SpanSink
{
public:
    void add(std::string line) noexcept override { spans.push_back(nlohmann::json::parse(line)); }

    const nlohmann::json &named(const std::string &name) const
    {
        for (const auto &span : spans) {
            if (span.at("name") == name)
                return span;
        }
        CPPUNIT_FAIL("no recorded span is named " + name);
        return spans.front();
    }

    std::vector<nlohmann::json> spans;
};

TraceParent anyParent()
{
    TraceParent parent;
    for (auto &byte : parent.traceId)
        byte = *rc::gen::arbitrary<std::uint8_t>();
    for (auto &byte : parent.spanId)
        byte = *rc::gen::arbitrary<std::uint8_t>();
    parent.sampled = *rc::gen::arbitrary<bool>();
    RC_PRE(parent.traceId != TraceParent().traceId);
    RC_PRE(parent.spanId != TraceParent().spanId);
    return parent;
}

std::string replaced(std::size_t at, const std::string &text)
{
    std::string changed = Valid;
    changed.replace(at, text.size(), text);
    return changed;
}

//! A unique temporary file, removed by the destructor.
struct TemporaryFile
{
    std::string path;

    TemporaryFile()
    {
        char name[] = "/tmp/ggv-trace-XXXXXX";
        const int descriptor = ::mkstemp(name);
        CPPUNIT_ASSERT(descriptor >= 0);
        ::close(descriptor);
        path = name;
    }

    ~TemporaryFile() { std::remove(path.c_str()); }

    std::vector<std::string> lines() const
    {
        std::ifstream file(path);
        std::vector<std::string> found;
        for (std::string line; std::getline(file, line);)
            found.push_back(line);
        return found;
    }
};

class TraceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TraceTest);
    CPPUNIT_TEST(formattedParentsAreParsedBack);
    CPPUNIT_TEST(invalidTraceparentsAreRejected);
    CPPUNIT_TEST(changedTraceparentsRoundTripOrAreRejected);
    CPPUNIT_TEST(laterVersionsAreParsedUpToKnownFields);
    CPPUNIT_TEST(hopsAreChildrenOfTheRequest);
    CPPUNIT_TEST(traceparentNamesTheCurrentAttempt);
    CPPUNIT_TEST(invalidHeadersBeginANewTrace);
    CPPUNIT_TEST(unsampledTracesArePropagatedButNotWritten);
    CPPUNIT_TEST(hasNoEffectWithoutTracer);
    CPPUNIT_TEST(spanIdsAreUnique);
    CPPUNIT_TEST(spansAreWrittenOnePerLine);
    CPPUNIT_TEST(droppedSpansAreCounted);
    CPPUNIT_TEST(missingFolderIsAnError);
    CPPUNIT_TEST_SUITE_END();

public:
    void formattedParentsAreParsedBack()
    {
        CPPUNIT_ASSERT(rc::check("parsing a formatted traceparent returns the same parent", [] {
            const TraceParent parent = anyParent();
            const auto parsed = parseTraceparent(formatTraceparent(parent));
            RC_ASSERT(parsed.has_value());
            RC_ASSERT(*parsed == parent);
        }));
        CPPUNIT_ASSERT_EQUAL(Valid, formatTraceparent(parseTraceparent(Valid).value()));
    }

    void invalidTraceparentsAreRejected()
    {
        const std::vector<std::string> invalid {
            "",
            "00",
            Valid.substr(1),
            Valid.substr(0, Valid.size() - 1),
            Valid + " ",
            " " + Valid,
            Valid + "-00",
            replaced(0, "ff"),
            replaced(0, "0g"),
            replaced(0, "FF"),
            replaced(2, "_"),
            replaced(35, "_"),
            replaced(52, "_"),
            replaced(3, "0AF7"),
            replaced(3, std::string(32, '0')),
            replaced(36, std::string(16, '0')),
            replaced(36, "B7"),
            replaced(53, "0x"),
            replaced(53, "-1"),
            replaced(0, "01") + "x",
            std::string(55, '\0'),
        };
        for (const auto &text : invalid)
            CPPUNIT_ASSERT_MESSAGE(text, !parseTraceparent(text));
    }

    void changedTraceparentsRoundTripOrAreRejected()
    {
        CPPUNIT_ASSERT(rc::check(
            "a header with one changed character is rejected or keeps its ids when formatted", [] {
                std::string text = Valid;
                text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
                const auto parsed = parseTraceparent(text);
                if (parsed && text.starts_with("00"))
                    RC_ASSERT(formatTraceparent(*parsed).substr(0, 53) == text.substr(0, 53));
            }));
    }

    void laterVersionsAreParsedUpToKnownFields()
    {
        const auto known = parseTraceparent(Valid);
        CPPUNIT_ASSERT(known == parseTraceparent(replaced(0, "01")));
        CPPUNIT_ASSERT(known == parseTraceparent(replaced(0, "cc") + "-what-comes-later"));
    }

    void hopsAreChildrenOfTheRequest()
    {
        const auto sink = std::make_shared<RecordingSpanSink>();
        const auto tracer = createTracer(sink, Seed);
        {
            RequestTrace trace(tracer.get(), &Valid);
            CPPUNIT_ASSERT(trace.continuesCallerTrace());
            trace.beginHop("claim");
            trace.beginHop("admission");
            trace.beginHop("attempt");
            trace.tagHop("target", "t1");
            trace.endHop();
            trace.endRequest(ResultCode::Ok, Verdict::Done);
            trace.endRequest(ResultCode::Internal, Verdict::Unknown);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, sink->spans.size());
        const auto &request = sink->named("request");
        CPPUNIT_ASSERT_EQUAL(CallerSpan, request.at("parent").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("done"), request["tags"]["verdict"].get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), request["tags"]["result"].get<std::string>());
        for (const std::string name : { "claim", "admission", "attempt" }) {
            CPPUNIT_ASSERT(request.at("span") == sink->named(name).at("parent"));
            CPPUNIT_ASSERT_EQUAL(TraceId, sink->named(name).at("trace").get<std::string>());
        }
        const auto &attempt = sink->named("attempt");
        CPPUNIT_ASSERT_EQUAL(std::string("t1"), attempt["tags"]["target"].get<std::string>());
    }

    void traceparentNamesTheCurrentAttempt()
    {
        const auto sink = std::make_shared<RecordingSpanSink>();
        const auto tracer = createTracer(sink, Seed);
        RequestTrace trace(tracer.get(), &Valid);
        trace.beginHop("attempt");
        const std::string first = trace.traceparent();
        trace.beginHop("attempt");
        const std::string second = trace.traceparent();
        trace.endHop();
        CPPUNIT_ASSERT(first != second);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, sink->spans.size());
        for (std::size_t n = 0; n < 2; ++n) {
            const auto span = sink->spans[n].at("span").get<std::string>();
            std::string expected = Valid;
            expected.replace(36, span.size(), span);
            CPPUNIT_ASSERT_EQUAL(expected, n == 0 ? first : second);
        }
    }

    void invalidHeadersBeginANewTrace()
    {
        const auto sink = std::make_shared<RecordingSpanSink>();
        const auto tracer = createTracer(sink, Seed);
        const std::string invalid = replaced(0, "ff");
        for (const std::string *header : { &invalid, static_cast<const std::string *>(nullptr) }) {
            RequestTrace trace(tracer.get(), header);
            CPPUNIT_ASSERT(!trace.continuesCallerTrace());
            const auto identity = parseTraceparent(trace.traceparent());
            CPPUNIT_ASSERT(identity && identity->sampled);
            trace.endRequest(ResultCode::Ok, Verdict::Done);
            CPPUNIT_ASSERT(!sink->spans.back().contains("parent"));
            CPPUNIT_ASSERT(TraceId != sink->spans.back().at("trace").get<std::string>());
        }
    }

    void unsampledTracesArePropagatedButNotWritten()
    {
        const auto sink = std::make_shared<RecordingSpanSink>();
        const auto tracer = createTracer(sink, Seed);
        const std::string unsampled = replaced(53, "00");
        RequestTrace trace(tracer.get(), &unsampled);
        trace.beginHop("attempt");
        const auto identity = parseTraceparent(trace.traceparent());
        CPPUNIT_ASSERT(identity && !identity->sampled);
        CPPUNIT_ASSERT(identity->traceId == parseTraceparent(Valid)->traceId);
        trace.endHop();
        trace.endRequest(ResultCode::Ok, Verdict::Done);
        CPPUNIT_ASSERT(sink->spans.empty());
    }

    void hasNoEffectWithoutTracer()
    {
        RequestTrace trace(nullptr, &Valid);
        trace.beginHop("attempt");
        trace.tagHop("target", "t1");
        CPPUNIT_ASSERT(trace.traceparent().empty());
        trace.endHop();
        trace.endRequest(ResultCode::Ok, Verdict::Done);
    }

    void spanIdsAreUnique()
    {
        const auto tracer = createTracer(std::make_shared<RecordingSpanSink>(), Seed);
        std::set<std::string> seen;
        constexpr std::size_t Count = 1000;
        for (std::size_t n = 0; n < Count; ++n)
            seen.insert(tracer->StartSpan("request")->context().ToSpanID());
        CPPUNIT_ASSERT_EQUAL(Count, seen.size());
    }

    void spansAreWrittenOnePerLine()
    {
        const TemporaryFile file;
        {
            const auto sink = FileSpanSink::open(file.path).value();
            const auto tracer = createTracer(sink, Seed);
            auto span = tracer->StartSpan("request");
            span->SetTag("note", std::string("two\nlines \xff"));
            span->Finish();
            tracer->StartSpan("other")->Finish();
            span->Finish(); // A second finish has no effect.
        }
        const auto lines = file.lines();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, lines.size());
        CPPUNIT_ASSERT(nlohmann::json::parse(lines[0]).at("name") == "request");
        CPPUNIT_ASSERT(nlohmann::json::parse(lines[1]).at("name") == "other");
    }

    void droppedSpansAreCounted()
    {
        const TemporaryFile file;
        constexpr std::uint64_t Offered = 10;
        const auto sink = FileSpanSink::open(file.path, 0).value();
        for (std::uint64_t n = 0; n < Offered; ++n)
            sink->add("{}");
        CPPUNIT_ASSERT_EQUAL(Offered, sink->dropped());
        CPPUNIT_ASSERT(file.lines().empty());
    }

    void missingFolderIsAnError()
    {
        const TemporaryFile file;
        const auto sink = FileSpanSink::open(file.path + "/trace.json");
        CPPUNIT_ASSERT(!sink);
        CPPUNIT_ASSERT(ResultCode::StorageIo == sink.error().code());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TraceTest);

} // namespace
