#include <ggv/protocol/codec/document_compression.hpp>
#include <ggv/state/core/error.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <random>
#include <string>

namespace {

using ggv::Bytes;

//! A change of one route among 10,000 must cost an entry host less than this.
constexpr std::size_t MaxBytesOfOneRoute = 2000;
constexpr int ManyRoutes = 10'000;

Bytes bytesOf(const std::string &text) { return { text.begin(), text.end() }; }

// A document of the size and regularity of an operators' JSON document.
Bytes document(int routes, int changedRoute)
{
    std::mt19937_64 random(20261204);
    std::string text = R"({"version":7,"routes":{)";
    for (int n = 0; n < routes; ++n) {
        text += R"("r-)" + std::to_string(random()) + R"(":{"host":"h.example","pathPrefix":"/)"
            + std::to_string(random())
            + R"(/","kind":"idempotent","timeout":"2500ms","objective":"400ms","service":")"
            + (n == changedRoute ? "changed" : "shop") + R"(","maxAttempts":2},)";
    }
    return bytesOf(text + "}}");
}

class DocumentCompressionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocumentCompressionTest);
    CPPUNIT_TEST(documentsRoundTrip);
    CPPUNIT_TEST(changeOfOneRouteIsSmall);
    CPPUNIT_TEST(malformedBytesAreRejectedOrGiveADocument);
    CPPUNIT_TEST(claimedSizeIsBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void documentsRoundTrip()
    {
        CPPUNIT_ASSERT(rc::check("a document survives compression with any base",
                                 [](const Bytes &content, const Bytes &base) {
                                     const Bytes compressed = ggv::compressDocument(content, base);
                                     RC_ASSERT(ggv::decompressDocument(compressed, base)
                                               == content);
                                 }));
    }

    void changeOfOneRouteIsSmall()
    {
        const Bytes before = document(ManyRoutes, -1);
        const Bytes after = document(ManyRoutes, ManyRoutes / 2);
        const Bytes compressed = ggv::compressDocument(after, before);
        CPPUNIT_ASSERT(compressed.size() < MaxBytesOfOneRoute);
        CPPUNIT_ASSERT(ggv::decompressDocument(compressed, before) == after);
    }

    void malformedBytesAreRejectedOrGiveADocument()
    {
        CPPUNIT_ASSERT(rc::check("malformed bytes raise ProtocolViolation", [](const Bytes &base) {
            Bytes bytes = ggv::compressDocument(document(3, 1), base);
            const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
            if (*rc::gen::arbitrary<bool>())
                bytes.resize(at);
            else
                bytes[at] = *rc::gen::arbitrary<std::uint8_t>();
            try {
                (void)ggv::decompressDocument(bytes, base);
            } catch (const ggv::Error &error) {
                RC_ASSERT(error.code() == ggv::ResultCode::ProtocolViolation);
            }
        }));
    }

    // A zstd frame header that announces 1 TiB.
    void claimedSizeIsBounded()
    {
        const Bytes bytes { 0x28, 0xb5, 0x2f, 0xfd, 0xe0, 0, 0, 0, 0, 0, 1, 0, 0, 1, 0, 0 };
        CPPUNIT_ASSERT_THROW((void)ggv::decompressDocument(bytes, {}), ggv::Error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentCompressionTest);

} // namespace
