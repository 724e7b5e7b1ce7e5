#include <ggv/state/claim/claim_table.hpp>
#include <ggv/state/core/error.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>

namespace {

using namespace ggv;

constexpr UnixMillis Hour = 3'600'000;

// Windows of a few milliseconds, so that short sequences of operations exceed all of them.
constexpr ClaimTableLimits SmallLimits { 4, 1000, 20, 40, 15 };

KeyDigest keyOf(std::uint64_t number) { return { number << 56U, number * 0x9e3779b97f4a7c15ULL }; }

ClaimId idOf(std::uint64_t number) { return { 7, number }; }

StoredAnswer answerOf(std::uint64_t number)
{
    return { 200, { { "Order", std::to_string(number) } }, Bytes(100, 'x'), true };
}

// Wraps a table with short calls: keys and claims by number, latest position by default.
struct TableFixture
{
    ClaimTable table;
    UnixMillis now = Hour * 1000;

    explicit TableFixture(const ClaimTableLimits &limits = {})
        : table(limits)
    { }

    ClaimDecision claim(std::uint64_t key, std::uint64_t id, UnixMillis keyTime = 0)
    {
        return claimAtPosition(key, id, table.position(), keyTime).decision;
    }
    ClaimOutcome claimAtPosition(std::uint64_t key, std::uint64_t id, std::uint64_t seen,
                                 UnixMillis keyTime = 0, std::uint64_t fingerprint = 1)
    {
        return table.claim({ keyOf(key), idOf(id), fingerprint, keyTime, seen }, now);
    }
    bool complete(std::uint64_t key, std::uint64_t id)
    {
        return table.complete({ keyOf(key), idOf(id), answerOf(id) }, now);
    }
    bool release(std::uint64_t key, std::uint64_t id)
    {
        return table.release({ keyOf(key), idOf(id) }, now);
    }
};

// Checks the invariants of a claim table by its replies alone.
struct InvariantChecker
{
    std::map<std::uint64_t, std::uint64_t> holder; // Claim that holds each key.
    std::set<std::uint64_t> finished;
    std::map<std::uint64_t, std::uint64_t>
        lastRelease; // Position of the last "not run" of each key.

    void checkGrant(std::uint64_t key, std::uint64_t id, std::uint64_t seen)
    {
        RC_ASSERT(finished.count(key) == 0U);
        const auto held = holder.find(key);
        if (held != holder.end()) {
            RC_ASSERT(held->second == id);
            return;
        }
        RC_ASSERT(seen >= lastRelease[key]);

        holder[key] = id;
    }
};

class ClaimTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimTableTest);
    CPPUNIT_TEST(grantsOnceAndReplays);
    CPPUNIT_TEST(onlyTheHolderCompletesOrReleases);
    CPPUNIT_TEST(rejectsAnotherFingerprint);
    CPPUNIT_TEST(retainsTombstonesOfUntimedKeys);
    CPPUNIT_TEST(rejectsTimedKeysByAge);
    CPPUNIT_TEST(timeNeverDecreases);
    CPPUNIT_TEST(rejectsRequestsFromBeforeRelease);
    CPPUNIT_TEST(rejectsClaimsThatArriveAfterTheirRelease);
    CPPUNIT_TEST(releaseRecordsOutliveTheCreationTime);
    CPPUNIT_TEST(fullTableRejectsNewAndRetainsExistingKeys);
    CPPUNIT_TEST(evictsOldestAnswersOverTheLimit);
    CPPUNIT_TEST(randomOperationsNeverGrantTwice);
    CPPUNIT_TEST(restoredReplicaBehavesTheSame);
    CPPUNIT_TEST(corruptDataIsRejected);
    CPPUNIT_TEST(digestsDifferByService);
    CPPUNIT_TEST(readsTimestampOfVersion7Only);
    CPPUNIT_TEST_SUITE_END();

public:
    void grantsOnceAndReplays()
    {
        TableFixture fixture;
        CPPUNIT_ASSERT(fixture.claim(1, 1) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(fixture.claim(1, 1) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(fixture.claim(1, 2) == ClaimDecision::Unresolved);
        CPPUNIT_ASSERT(fixture.complete(1, 1));
        CPPUNIT_ASSERT(fixture.complete(1, 1));
        const auto outcome = fixture.claimAtPosition(1, 1, fixture.table.position());
        CPPUNIT_ASSERT(outcome.decision == ClaimDecision::Finished);
        CPPUNIT_ASSERT(outcome.answer == answerOf(1));
    }

    void onlyTheHolderCompletesOrReleases()
    {
        TableFixture fixture;
        CPPUNIT_ASSERT(fixture.claim(1, 1) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(!fixture.complete(1, 2));
        CPPUNIT_ASSERT(!fixture.release(1, 2));
        CPPUNIT_ASSERT(fixture.claim(1, 2) == ClaimDecision::Unresolved);
        CPPUNIT_ASSERT(fixture.release(1, 1));
        CPPUNIT_ASSERT(fixture.release(1, 1));
        CPPUNIT_ASSERT(fixture.claim(1, 2) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(!fixture.release(1, 1));
        CPPUNIT_ASSERT(!fixture.complete(1, 1));
        CPPUNIT_ASSERT(fixture.complete(1, 2));
        CPPUNIT_ASSERT(!fixture.release(1, 2));
    }

    void rejectsAnotherFingerprint()
    {
        TableFixture fixture({ 100, 1 << 20, Hour, 2 * Hour, Hour });
        CPPUNIT_ASSERT(fixture.claim(1, 1) == ClaimDecision::Granted);
        const auto other = [&fixture] {
            return fixture.claimAtPosition(1, 2, fixture.table.position(), 0, 99).decision;
        };
        CPPUNIT_ASSERT(other() == ClaimDecision::FingerprintMismatch);
        CPPUNIT_ASSERT(fixture.complete(1, 1));
        CPPUNIT_ASSERT(other() == ClaimDecision::FingerprintMismatch);
        fixture.now += 2 * Hour;
        CPPUNIT_ASSERT(other() == ClaimDecision::FingerprintMismatch);
    }

    void retainsTombstonesOfUntimedKeys()
    {
        TableFixture fixture;
        CPPUNIT_ASSERT(fixture.claim(1, 1) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(fixture.complete(1, 1));
        fixture.now += 24 * 1000L * Hour;
        const auto outcome = fixture.claimAtPosition(1, 2, fixture.table.position());
        CPPUNIT_ASSERT(outcome.decision == ClaimDecision::Finished);
        CPPUNIT_ASSERT(!outcome.answer);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, fixture.table.answerBytes());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, fixture.table.size());
    }

    void rejectsTimedKeysByAge()
    {
        TableFixture fixture;
        const auto keyTime = fixture.now;
        CPPUNIT_ASSERT(fixture.claim(1, 1, keyTime) == ClaimDecision::Granted);
        fixture.now += 47 * Hour;
        CPPUNIT_ASSERT(fixture.claim(1, 2, keyTime) == ClaimDecision::Unresolved);
        fixture.now += 2 * Hour;
        CPPUNIT_ASSERT(fixture.claim(1, 2, keyTime) == ClaimDecision::Expired);
        CPPUNIT_ASSERT(fixture.claim(1, 1, keyTime) == ClaimDecision::Expired);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, fixture.table.size());
    }

    void timeNeverDecreases()
    {
        TableFixture fixture;
        const auto keyTime = fixture.now;
        fixture.now += 49 * Hour;
        fixture.table.advancePosition(fixture.now);
        fixture.now = keyTime; // A new leader's clock is behind.
        CPPUNIT_ASSERT(fixture.claim(1, 1, keyTime) == ClaimDecision::Expired);
    }

    void rejectsRequestsFromBeforeRelease()
    {
        TableFixture fixture;
        const auto early = fixture.table.position();
        CPPUNIT_ASSERT(fixture.claim(1, 1) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(fixture.release(1, 1));
        const auto released = fixture.table.position();
        CPPUNIT_ASSERT(fixture.claimAtPosition(1, 2, early).decision == ClaimDecision::Stale);
        CPPUNIT_ASSERT(fixture.claimAtPosition(1, 2, released - 1).decision
                       == ClaimDecision::Stale);
        CPPUNIT_ASSERT(fixture.claimAtPosition(1, 2, released).decision == ClaimDecision::Granted);
    }

    void rejectsClaimsThatArriveAfterTheirRelease()
    {
        TableFixture fixture;
        CPPUNIT_ASSERT(!fixture.release(1, 1));
        CPPUNIT_ASSERT(fixture.claimAtPosition(1, 1, 0).decision == ClaimDecision::Stale);
        CPPUNIT_ASSERT(fixture.claim(1, 2) == ClaimDecision::Granted);
    }

    // A key with a creation time is removed, and a release that arrives before its claim adds it
    // again without that time. The expiry of the old creation time must not remove the release
    // record.
    void releaseRecordsOutliveTheCreationTime()
    {
        const ClaimTableLimits limits { 100, 1000, Hour, 10 * Hour, Hour };
        TableFixture fixture(limits);
        CPPUNIT_ASSERT(fixture.claim(1, 1, fixture.now) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(fixture.release(1, 1));
        for (int it = 0; it < 3; ++it) {
            fixture.now += Hour;
            fixture.table.advancePosition(fixture.now);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, fixture.table.size());
        fixture.now += 7 * Hour - Hour / 2;
        CPPUNIT_ASSERT(!fixture.release(1, 9));
        auto replica = ClaimTable::decode(fixture.table.encode(), limits);
        fixture.now += Hour / 2 + Hour / 20;
        replica.advancePosition(fixture.now);
        fixture.table.advancePosition(fixture.now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, fixture.table.size());
        CPPUNIT_ASSERT(replica.encode() == fixture.table.encode());
    }

    void fullTableRejectsNewAndRetainsExistingKeys()
    {
        TableFixture fixture({ 2, 1000, Hour, 2 * Hour, Hour });
        CPPUNIT_ASSERT(fixture.claim(1, 1) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(fixture.claim(2, 2, fixture.now) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(fixture.claim(3, 3) == ClaimDecision::Full);
        CPPUNIT_ASSERT(!fixture.release(3, 3));
        CPPUNIT_ASSERT(fixture.claim(1, 4) == ClaimDecision::Unresolved);
        fixture.now += 3 * Hour; // The key with a creation time expires and is removed.

        CPPUNIT_ASSERT(fixture.claim(3, 6) == ClaimDecision::Granted);
    }

    void evictsOldestAnswersOverTheLimit()
    {
        TableFixture fixture({ 100, 450, Hour, Hour, Hour });
        for (std::uint64_t it = 1; it <= 3; ++it) {
            CPPUNIT_ASSERT(fixture.claim(it, it) == ClaimDecision::Granted);
            CPPUNIT_ASSERT(fixture.complete(it, it));
        }
        CPPUNIT_ASSERT(fixture.table.answerBytes() <= 450);
        CPPUNIT_ASSERT(!fixture.claimAtPosition(1, 9, 99).answer);
        CPPUNIT_ASSERT(fixture.claimAtPosition(3, 9, 99).answer == answerOf(3));
    }

    void randomOperationsNeverGrantTwice()
    {
        CPPUNIT_ASSERT(rc::check("a key is granted to one claim and never after it finished", [] {
            TableFixture fixture(SmallLimits);
            InvariantChecker checker;
            const auto steps = *rc::gen::scale(4.0,
                                               rc::gen::container<std::vector<std::uint32_t>>(
                                                   rc::gen::arbitrary<std::uint32_t>()));
            for (const auto step : steps)
                perform(fixture, step, &checker);
        }));
    }

    void restoredReplicaBehavesTheSame()
    {
        CPPUNIT_ASSERT(rc::check("a restored replica replies and encodes identically", [] {
            TableFixture first(SmallLimits);
            TableFixture second(SmallLimits);
            const auto steps = *rc::gen::scale(4.0,
                                               rc::gen::container<std::vector<std::uint32_t>>(
                                                   rc::gen::arbitrary<std::uint32_t>()));
            for (const auto step : steps) {
                if (step % 3 == 0)
                    second.table = ClaimTable::decode(second.table.encode(), SmallLimits);
                RC_ASSERT(perform(first, step, nullptr) == perform(second, step, nullptr));
                RC_ASSERT(first.table.encode() == second.table.encode());
            }
        }));
    }

    void corruptDataIsRejected()
    {
        TableFixture fixture;
        for (std::uint64_t it = 1; it <= 4; ++it)
            CPPUNIT_ASSERT(fixture.claim(it, it, it == 4 ? fixture.now : 0)
                           == ClaimDecision::Granted);
        CPPUNIT_ASSERT(fixture.complete(1, 1));
        CPPUNIT_ASSERT(fixture.release(2, 2));
        const auto encoded = fixture.table.encode();
        for (std::size_t it = 0; it < encoded.size(); ++it) {
            auto flipped = encoded;
            flipped[it] ^= 1U;
            CPPUNIT_ASSERT(isRejected(flipped));
            CPPUNIT_ASSERT(
                isRejected(Bytes(encoded.begin(), encoded.begin() + static_cast<long>(it))));
        }
        CPPUNIT_ASSERT(ClaimTable::decode(encoded).encode() == encoded);
    }

    void digestsDifferByService()
    {
        const ServiceName kits("kits");
        CPPUNIT_ASSERT(digestKey(kits, "a") == digestKey(kits, "a"));
        CPPUNIT_ASSERT(digestKey(kits, "a") != digestKey(kits, "b"));
        CPPUNIT_ASSERT(digestKey(kits, "a") != digestKey(ServiceName("couriers"), "a"));
        CPPUNIT_ASSERT(digestKey(kits, "sa") != digestKey(ServiceName("kitss"), "a"));
    }

    void readsTimestampOfVersion7Only()
    {
        struct Row
        {
            const char *key;
            UnixMillis time;
        };
        const Row rows[] {
            { "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0x017f22e279b0 },
            { "017F22E2-79B0-7CC3-98C4-DC0C0C07398F", 0x017f22e279b0 },
            { "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", 0 }, // Version 4.
            { "017f22e2-79b0-7cc3-c8c4-dc0c0c07398f", 0 }, // Another variant.
            { "017f22e2-79b0-7cc3-98c4-dc0c0c07398", 0 }, // Too short.
            { "017f22e2x79b0-7cc3-98c4-dc0c0c07398f", 0 }, // No dash.
            { "017g22e2-79b0-7cc3-98c4-dc0c0c07398f", 0 }, // Not hexadecimal.
            { "", 0 },
        };
        for (const auto &row : rows)
            CPPUNIT_ASSERT_EQUAL(row.time, timestampOfKey(row.key));
    }

private:
    // Performs one operation on one of six keys, derived from random bits; half of the keys have a
    // creation time.
    static ClaimOutcome perform(TableFixture &fixture, std::uint32_t bits,
                                InvariantChecker *checker)
    {
        const std::uint64_t key = bits / 16 % 6 + 1;
        const std::uint64_t id = bits / 128 % 4 + 1;
        const auto back = std::min<std::uint64_t>(fixture.table.position(), bits / 512 % 8);
        const auto seen = fixture.table.position() - back;
        const auto keyTime = key % 2 == 0 ? Hour * 1000 + static_cast<UnixMillis>(key) : 0;
        fixture.now += bits / 4096 % 8 == 0 ? 70'000 : bits / 4096 % 4;
        switch (bits % 4) {
        case 0:
        case 1: {
            auto outcome = fixture.claimAtPosition(key, id, seen, keyTime);
            if (checker != nullptr && outcome.decision == ClaimDecision::Granted)
                checker->checkGrant(key, id, seen);

            return outcome;
        }
        case 2: {
            const bool stored = fixture.complete(key, id);
            if (checker != nullptr && stored)
                checker->finished.insert(key);
            return { ClaimDecision::Finished, stored ? std::optional(answerOf(id)) : std::nullopt };
        }
        default: {
            const bool wasReleased = fixture.release(key, id);
            if (checker != nullptr && wasReleased)
                recordRelease(*checker, fixture, key, id);
            return { wasReleased ? ClaimDecision::Granted : ClaimDecision::Full, {} };
        }
        }
    }

    static void recordRelease(InvariantChecker &checker, const TableFixture &fixture,
                              std::uint64_t key, std::uint64_t id)
    {
        RC_ASSERT(checker.finished.count(key) == 0U);
        const auto held = checker.holder.find(key);
        if (held == checker.holder.end() || held->second != id)
            return; // The release was resent.
        checker.holder.erase(held);
        checker.lastRelease[key] = fixture.table.position();
    }

    static bool isRejected(const Bytes &bytes)
    {
        try {
            (void)ClaimTable::decode(bytes);
        } catch (const Error &error) {
            return error.code() == ResultCode::StorageCorrupt;
        }
        return false;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimTableTest);

} // namespace
