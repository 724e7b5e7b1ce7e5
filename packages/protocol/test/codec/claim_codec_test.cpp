#include <ggv/protocol/codec/claim_codec.hpp>
#include <ggv/state/core/error.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

namespace {

using namespace ggv;

rc::Gen<StoredAnswer> answers()
{
    return rc::gen::build<StoredAnswer>(
        rc::gen::set(&StoredAnswer::status), rc::gen::set(&StoredAnswer::headers),
        rc::gen::set(&StoredAnswer::body), rc::gen::set(&StoredAnswer::complete));
}

KeyDigest key()
{
    return { *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>() };
}

ClaimId claimId()
{
    return { *rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>() };
}

ClaimCommand command()
{
    switch (*rc::gen::inRange(0, 4)) {
    case 0: {
        const auto fingerprint = *rc::gen::arbitrary<std::uint64_t>();
        const auto keyTime = *rc::gen::arbitrary<UnixMillis>();
        return ClaimRequest { key(), claimId(), fingerprint, keyTime, fingerprint / 2 };
    }
    case 1:
        return ClaimCompletion { key(), claimId(), *answers() };
    case 2:
        return ClaimRelease { key(), claimId() };
    default:
        return ClaimProbe {};
    }
}

ClaimReply reply()
{
    const auto position = *rc::gen::arbitrary<std::uint64_t>();
    if (*rc::gen::arbitrary<bool>())
        return { position, ClaimSettlement { *rc::gen::arbitrary<bool>() } };
    const auto decision = static_cast<ClaimDecision>(*rc::gen::inRange(0, 7));
    if (*rc::gen::arbitrary<bool>())
        return { position, ClaimOutcome { decision, {} } };
    return { position, ClaimOutcome { decision, *answers() } };
}

class ClaimCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimCodecTest);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(malformedBytesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesRoundTrip()
    {
        CPPUNIT_ASSERT(rc::check("decode is the inverse of encode", [] {
            const ClaimLogEntry entry { *rc::gen::arbitrary<UnixMillis>(), command() };
            RC_ASSERT(decodeClaimLogEntry(encodeClaimLogEntry(entry)) == entry);
            const ClaimCall call { { 1, 2 }, command() };
            RC_ASSERT(decodeClaimCall(encodeClaimCall(call)) == call);
            const auto answered = reply();
            RC_ASSERT(decodeClaimReply(encodeClaimReply(answered)) == answered);
            const ClaimCallAnswer answer { { 3, 4 }, ResultCode::NotLeader, 5, answered };
            RC_ASSERT(decodeClaimCallAnswer(encodeClaimCallAnswer(answer)) == answer);
        }));
    }

    void malformedBytesAreRejected()
    {
        CPPUNIT_ASSERT(isRejected({ 0xdd, 0xff, 0xff, 0xff, 0xff })); // 2^32 - 1 elements.
        CPPUNIT_ASSERT(isRejected(Bytes(100'000, 0x91))); // Array nesting exceeds the depth limit.
        CPPUNIT_ASSERT(rc::check(
            "truncated or extended bytes are rejected, modified ones rejected or decoded", [] {
                auto bytes = encodeClaimCall({ { 1, 2 }, command() });
                const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
                auto truncated = bytes;
                truncated.resize(at);
                RC_ASSERT(isRejected(truncated));
                auto extended = bytes;
                extended.push_back(0);
                RC_ASSERT(isRejected(extended));
                bytes[at] = *rc::gen::arbitrary<std::uint8_t>();
                (void)isRejected(bytes); // Any other exception fails the property.
                (void)isRejected(*rc::gen::arbitrary<Bytes>());
            }));
    }

private:
    static bool isRejected(const Bytes &bytes)
    {
        try {
            (void)decodeClaimCall(bytes);
        } catch (const Error &error) {
            CPPUNIT_ASSERT(error.code() == ResultCode::ProtocolViolation);
            return true;
        }
        return false;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimCodecTest);

} // namespace
