#include <ggv/coordination/fleet/document_history.hpp>
#include <ggv/coordination/fleet/received_document.hpp>
#include <ggv/state/core/error.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

namespace {

using ggv::Bytes;
using ggv::ByteView;
using ggv::DocumentHistory;
using ggv::DocumentUpdate;
using ggv::ReceivedDocument;

constexpr int VersionsBehind = 500;

Bytes document(std::uint64_t version)
{
    const std::string text = "document of version " + std::to_string(version);
    return { text.begin(), text.end() };
}

bool holds(const ReceivedDocument &received, std::uint64_t version)
{
    const Bytes expected = document(version);
    const ByteView bytes = received.bytes();
    return received.heldVersion() == version
        && std::equal(bytes.begin(), bytes.end(), expected.begin(), expected.end());
}

class DocumentHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DocumentHistoryTest);
    CPPUNIT_TEST(anySeriesOfUpdatesEndsInTheSendersDocument);
    CPPUNIT_TEST(receiverIsServedAfterHundredsOfVersions);
    CPPUNIT_TEST(differingBaseIsReplacedByACompleteDocument);
    CPPUNIT_TEST(olderVersionIsNeverApplied);
    CPPUNIT_TEST(retainedDocumentsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void anySeriesOfUpdatesEndsInTheSendersDocument()
    {
        CPPUNIT_ASSERT(rc::check("lost, repeated and skipped updates do no harm", [] {
            DocumentHistory history;
            ReceivedDocument received;
            DocumentUpdate last;
            std::uint64_t version = 0;
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
            for (const int step : steps) {
                version += static_cast<std::uint64_t>(*rc::gen::inRange(1, 4));
                history.add(version, document(version));
                const bool isLost = step == 0;
                const bool isRepeated = step == 1;
                if (isLost)
                    continue;
                last = history.updateFrom(received.heldVersion());
                (void)received.apply(last);
                if (isRepeated)
                    RC_ASSERT(!received.apply(last));
                RC_ASSERT(holds(received, version));
            }
        }));
    }

    void receiverIsServedAfterHundredsOfVersions()
    {
        DocumentHistory history;
        ReceivedDocument received;
        history.add(1, document(1));
        CPPUNIT_ASSERT(received.apply(history.updateFrom(0)));
        for (std::uint64_t n = 2; n <= VersionsBehind; ++n)
            history.add(n, document(n));
        const auto &update = history.updateFrom(received.heldVersion());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, update.baseVersion);
        CPPUNIT_ASSERT(received.apply(update));
        CPPUNIT_ASSERT(holds(received, VersionsBehind));
    }

    // Another leader's document of the same version differs from the receiver's.
    void differingBaseIsReplacedByACompleteDocument()
    {
        DocumentHistory other;
        other.add(1, document(99));
        ReceivedDocument received;
        CPPUNIT_ASSERT(received.apply(other.updateFrom(0)));
        DocumentHistory history;
        history.add(1, document(1));
        history.add(2, document(2));
        CPPUNIT_ASSERT_THROW(received.apply(history.updateFrom(1)), ggv::Error);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, received.heldVersion());
        CPPUNIT_ASSERT(received.apply(history.updateFrom(received.heldVersion())));
        CPPUNIT_ASSERT(holds(received, 2));
    }

    void olderVersionIsNeverApplied()
    {
        DocumentHistory newer;
        newer.add(5, document(5));
        DocumentHistory older;
        older.add(4, document(4));
        ReceivedDocument received;
        CPPUNIT_ASSERT(received.apply(newer.updateFrom(0)));
        CPPUNIT_ASSERT(!received.apply(older.updateFrom(0)));
        DocumentUpdate broken = newer.updateFrom(0);
        broken.version = 6;
        ++broken.digest;
        CPPUNIT_ASSERT_THROW(received.apply(broken), ggv::Error);
        CPPUNIT_ASSERT(!received.apply(older.updateFrom(0)));
    }

    void retainedDocumentsAreBounded()
    {
        DocumentHistory history;
        const Bytes large(DocumentHistory::MaxBaseBytes, 1);
        history.add(1, large);
        history.add(2, large);
        history.add(3, document(3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, history.updateFrom(1).baseVersion);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, history.updateFrom(2).baseVersion);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentHistoryTest);

} // namespace
