#include <ggv/protocol/codec/codec.hpp>
#include <ggv/state/core/error.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace ggv;

template <typename Body>
RaftMessage wrap(Body body)
{
    return { *rc::gen::arbitrary<MemberId>(), *rc::gen::arbitrary<MemberId>(), std::move(body) };
}

LogEntry anyEntry()
{
    LogEntry entry;
    entry.index = *rc::gen::arbitrary<LogIndex>();
    entry.term = *rc::gen::arbitrary<Term>();
    entry.kind = *rc::gen::arbitrary<std::uint8_t>();
    entry.payload = *rc::gen::arbitrary<Bytes>();
    return entry;
}

AppendRequest anyAppend()
{
    AppendRequest request { *rc::gen::arbitrary<Term>(),     2, 3,
                            *rc::gen::arbitrary<LogIndex>(), 5, {} };
    const int n = *rc::gen::inRange(0, 4);
    for (int i = 0; i < n; ++i)
        request.entries.push_back(anyEntry());
    return request;
}

RaftMessage anyMessage()
{
    const auto number = *rc::gen::arbitrary<std::uint64_t>();
    const bool flag = *rc::gen::arbitrary<bool>();
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        return wrap(VoteRequest { number, 2, 3, flag });
    case 1:
        return wrap(VoteAnswer { number, flag, !flag });
    case 2:
        return wrap(anyAppend());
    case 3:
        return wrap(AppendAnswer { 1, flag, number, 4 });
    default:
        const auto state = *rc::gen::arbitrary<Bytes>();
        return wrap(InstallSnapshot { number, 2, Snapshot { 3, 4, { 5 }, state } });
    }
}

bool isRejected(ByteView bytes)
{
    try {
        static_cast<void>(decodeRaftMessage(bytes));
        return false;
    } catch (const Error &error) {
        return error.code() == ResultCode::ProtocolViolation;
    }
}

class RaftCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftCodecTest);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(membershipRoundTrips);
    CPPUNIT_TEST(rejectsEveryTruncationAndExtension);
    CPPUNIT_TEST(corruptedBytesAreRejectedOrDecode);
    CPPUNIT_TEST(rejectsOversizedLengths);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesRoundTrip()
    {
        CPPUNIT_ASSERT(rc::check([] {
            const RaftMessage message = anyMessage();
            RC_ASSERT(message == decodeRaftMessage(encodeRaftMessage(message)));
        }));
    }

    void membershipRoundTrips()
    {
        CPPUNIT_ASSERT(rc::check([](std::vector<MemberId> voters, std::vector<MemberId> learners) {
            const Membership membership { std::move(voters), std::move(learners) };
            RC_ASSERT(membership == decodeMembership(encodeMembership(membership)));
        }));
    }

    void rejectsEveryTruncationAndExtension()
    {
        CPPUNIT_ASSERT(rc::check([] {
            Bytes bytes = encodeRaftMessage(anyMessage());
            for (std::size_t size = 0; size < bytes.size(); ++size)
                RC_ASSERT(isRejected(ByteView(bytes).first(size)));
            bytes.push_back(0);
            RC_ASSERT(isRejected(bytes));
        }));
    }

    // Corrupted bytes are either rejected or decode to a message that can be encoded again.
    void corruptedBytesAreRejectedOrDecode()
    {
        CPPUNIT_ASSERT(rc::check([] {
            Bytes bytes = encodeRaftMessage(anyMessage());
            const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[position] = *rc::gen::arbitrary<std::uint8_t>();
            if (!isRejected(bytes))
                RC_ASSERT(!encodeRaftMessage(decodeRaftMessage(bytes)).empty());
        }));
        CPPUNIT_ASSERT(
            rc::check([](const Bytes &randomBytes) { RC_ASSERT(isRejected(randomBytes)); }));
    }

    void rejectsOversizedLengths()
    {
        const Bytes array32 { 0xdd, 0xff, 0xff, 0xff, 0xff, 0x00 };
        const Bytes map32 { 0xdf, 0xff, 0xff, 0xff, 0xff, 0x00 };
        const Bytes bin32 { 0xc6, 0xff, 0xff, 0xff, 0xff, 0x00 };
        const Bytes nested(10000, 0x91);
        for (const Bytes &bytes : { array32, map32, bin32, nested })
            CPPUNIT_ASSERT(isRejected(bytes));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftCodecTest);

} // namespace
