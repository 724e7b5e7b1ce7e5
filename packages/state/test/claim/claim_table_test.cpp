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

// Windows of a few milliseconds, so that short histories pass all of them.
constexpr ClaimTableLimits SmallLimits { 4, 1000, 20, 40, 15 };

KeyDigest keyOf(std::uint64_t number) { return { number << 56U, number * 0x9e3779b97f4a7c15ULL }; }

ClaimId idOf(std::uint64_t number) { return { 7, number }; }

StoredAnswer answerOf(std::uint64_t number)
{
    return { 200, { { "Order", std::to_string(number) } }, Bytes(100, 'x'), true };
}

// A table with short calls: key and claim by number, the newest position as seen.
struct Bench
{
    ClaimTable table;
    UnixMillis now = Hour * 1000;

    explicit Bench(const ClaimTableLimits &limits = {})
        : table(limits)
    { }

    ClaimDecision claim(std::uint64_t key, std::uint64_t id, UnixMillis keyTime = 0)
    {
        return claimSeen(key, id, table.position(), keyTime).decision;
    }
    ClaimOutcome claimSeen(std::uint64_t key, std::uint64_t id, std::uint64_t seen,
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

// What must never happen, kept from the answers of a table alone.
struct Ledger
{
    std::map<std::uint64_t, std::uint64_t> holder; // Key to claim.
    std::set<std::uint64_t> finished;
    std::map<std::uint64_t, std::uint64_t> notBefore; // Key to position of the last "not run".

    void checkGrant(std::uint64_t key, std::uint64_t id, std::uint64_t seen)
    {
        RC_ASSERT(finished.count(key) == 0U);
        const auto held = holder.find(key);
        if (held != holder.end()) {
            RC_ASSERT(held->second == id);
            return;
        }
        RC_ASSERT(seen >= notBefore[key]);

        holder[key] = id;
    }
};

class ClaimTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimTableTest);
    CPPUNIT_TEST(grantsOnceAndReplays);
    CPPUNIT_TEST(onlyTheHolderCompletesOrReleases);
    CPPUNIT_TEST(refusesAnotherFingerprint);
    CPPUNIT_TEST(keepsTombstonesOfOpaqueKeys);
    CPPUNIT_TEST(refusesTimedKeysByAge);
    CPPUNIT_TEST(neverGoesBackInTime);
    CPPUNIT_TEST(refusesRequestsFromBeforeRelease);
    CPPUNIT_TEST(refusesClaimsThatArriveAfterTheirRelease);
    CPPUNIT_TEST(recordsOfReleasesOutliveTheKeysTime);
    CPPUNIT_TEST(fullTableRefusesWithoutForgetting);
    CPPUNIT_TEST(buriesOldestAnswersOverTheBound);
    CPPUNIT_TEST(historiesNeverGrantTwice);
    CPPUNIT_TEST(restoredReplicaBehavesTheSame);
    CPPUNIT_TEST(damageIsRefused);
    CPPUNIT_TEST(digestsSeparateServices);
    CPPUNIT_TEST(readsTimeOfVersion7Only);
    CPPUNIT_TEST_SUITE_END();

public:
    void grantsOnceAndReplays()
    {
        Bench bench;
        CPPUNIT_ASSERT(bench.claim(1, 1) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(bench.claim(1, 1) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(bench.claim(1, 2) == ClaimDecision::Unresolved);
        CPPUNIT_ASSERT(bench.complete(1, 1));
        CPPUNIT_ASSERT(bench.complete(1, 1));
        const auto outcome = bench.claimSeen(1, 1, bench.table.position());
        CPPUNIT_ASSERT(outcome.decision == ClaimDecision::Finished);
        CPPUNIT_ASSERT(outcome.answer == answerOf(1));
    }

    void onlyTheHolderCompletesOrReleases()
    {
        Bench bench;
        CPPUNIT_ASSERT(bench.claim(1, 1) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(!bench.complete(1, 2));
        CPPUNIT_ASSERT(!bench.release(1, 2));
        CPPUNIT_ASSERT(bench.claim(1, 2) == ClaimDecision::Unresolved);
        CPPUNIT_ASSERT(bench.release(1, 1));
        CPPUNIT_ASSERT(bench.release(1, 1));
        CPPUNIT_ASSERT(bench.claim(1, 2) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(!bench.release(1, 1));
        CPPUNIT_ASSERT(!bench.complete(1, 1));
        CPPUNIT_ASSERT(bench.complete(1, 2));
        CPPUNIT_ASSERT(!bench.release(1, 2));
    }

    void refusesAnotherFingerprint()
    {
        Bench bench({ 100, 1 << 20, Hour, 2 * Hour, Hour });
        CPPUNIT_ASSERT(bench.claim(1, 1) == ClaimDecision::Granted);
        const auto other
            = [&bench] { return bench.claimSeen(1, 2, bench.table.position(), 0, 99).decision; };
        CPPUNIT_ASSERT(other() == ClaimDecision::FingerprintMismatch);
        CPPUNIT_ASSERT(bench.complete(1, 1));
        CPPUNIT_ASSERT(other() == ClaimDecision::FingerprintMismatch);
        bench.now += 2 * Hour;
        CPPUNIT_ASSERT(other() == ClaimDecision::FingerprintMismatch);
    }

    void keepsTombstonesOfOpaqueKeys()
    {
        Bench bench;
        CPPUNIT_ASSERT(bench.claim(1, 1) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(bench.complete(1, 1));
        bench.now += 24 * 1000L * Hour;
        const auto outcome = bench.claimSeen(1, 2, bench.table.position());
        CPPUNIT_ASSERT(outcome.decision == ClaimDecision::Finished);
        CPPUNIT_ASSERT(!outcome.answer);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, bench.table.answerBytes());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, bench.table.size());
    }

    void refusesTimedKeysByAge()
    {
        Bench bench;
        const auto keyTime = bench.now;
        CPPUNIT_ASSERT(bench.claim(1, 1, keyTime) == ClaimDecision::Granted);
        bench.now += 47 * Hour;
        CPPUNIT_ASSERT(bench.claim(1, 2, keyTime) == ClaimDecision::Unresolved);
        bench.now += 2 * Hour;
        CPPUNIT_ASSERT(bench.claim(1, 2, keyTime) == ClaimDecision::Expired);
        CPPUNIT_ASSERT(bench.claim(1, 1, keyTime) == ClaimDecision::Expired);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, bench.table.size());
    }

    void neverGoesBackInTime()
    {
        Bench bench;
        const auto keyTime = bench.now;
        bench.now += 49 * Hour;
        bench.table.advancePosition(bench.now);
        bench.now = keyTime; // A new leader whose clock is behind.
        CPPUNIT_ASSERT(bench.claim(1, 1, keyTime) == ClaimDecision::Expired);
    }

    void refusesRequestsFromBeforeRelease()
    {
        Bench bench;
        const auto early = bench.table.position();
        CPPUNIT_ASSERT(bench.claim(1, 1) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(bench.release(1, 1));
        const auto released = bench.table.position();
        CPPUNIT_ASSERT(bench.claimSeen(1, 2, early).decision == ClaimDecision::Stale);
        CPPUNIT_ASSERT(bench.claimSeen(1, 2, released - 1).decision == ClaimDecision::Stale);
        CPPUNIT_ASSERT(bench.claimSeen(1, 2, released).decision == ClaimDecision::Granted);
    }

    void refusesClaimsThatArriveAfterTheirRelease()
    {
        Bench bench;
        CPPUNIT_ASSERT(!bench.release(1, 1));
        CPPUNIT_ASSERT(bench.claimSeen(1, 1, 0).decision == ClaimDecision::Stale);
        CPPUNIT_ASSERT(bench.claim(1, 2) == ClaimDecision::Granted);
    }

    // A key that was forgotten and added again without its time, as its claim has not arrived.
    void recordsOfReleasesOutliveTheKeysTime()
    {
        const ClaimTableLimits limits { 100, 1000, Hour, 10 * Hour, Hour };
        Bench bench(limits);
        CPPUNIT_ASSERT(bench.claim(1, 1, bench.now) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(bench.release(1, 1));
        for (int it = 0; it < 3; ++it) {
            bench.now += Hour;
            bench.table.advancePosition(bench.now);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, bench.table.size());
        bench.now += 7 * Hour - Hour / 2;
        CPPUNIT_ASSERT(!bench.release(1, 9));
        auto replica = ClaimTable::decode(bench.table.encode(), limits);
        bench.now += Hour / 2 + Hour / 20;
        replica.advancePosition(bench.now);
        bench.table.advancePosition(bench.now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, bench.table.size());
        CPPUNIT_ASSERT(replica.encode() == bench.table.encode());
    }

    void fullTableRefusesWithoutForgetting()
    {
        Bench bench({ 2, 1000, Hour, 2 * Hour, Hour });
        CPPUNIT_ASSERT(bench.claim(1, 1) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(bench.claim(2, 2, bench.now) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(bench.claim(3, 3) == ClaimDecision::Full);
        CPPUNIT_ASSERT(!bench.release(3, 3));
        CPPUNIT_ASSERT(bench.claim(1, 4) == ClaimDecision::Unresolved);
        bench.now += 3 * Hour; // The timed key is forgotten; there is room again.

        CPPUNIT_ASSERT(bench.claim(3, 6) == ClaimDecision::Granted);
    }

    void buriesOldestAnswersOverTheBound()
    {
        Bench bench({ 100, 450, Hour, Hour, Hour });
        for (std::uint64_t it = 1; it <= 3; ++it) {
            CPPUNIT_ASSERT(bench.claim(it, it) == ClaimDecision::Granted);
            CPPUNIT_ASSERT(bench.complete(it, it));
        }
        CPPUNIT_ASSERT(bench.table.answerBytes() <= 450);
        CPPUNIT_ASSERT(!bench.claimSeen(1, 9, 99).answer);
        CPPUNIT_ASSERT(bench.claimSeen(3, 9, 99).answer == answerOf(3));
    }

    void historiesNeverGrantTwice()
    {
        CPPUNIT_ASSERT(rc::check("a key is granted to one claim and never after its end", [] {
            Bench bench(SmallLimits);
            Ledger ledger;
            const auto steps = *rc::gen::scale(4.0,
                                               rc::gen::container<std::vector<std::uint32_t>>(
                                                   rc::gen::arbitrary<std::uint32_t>()));
            for (const auto step : steps)
                perform(bench, step, &ledger);
        }));
    }

    void restoredReplicaBehavesTheSame()
    {
        CPPUNIT_ASSERT(rc::check("a replica from a snapshot answers and encodes alike", [] {
            Bench first(SmallLimits);
            Bench second(SmallLimits);
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

    void damageIsRefused()
    {
        Bench bench;
        for (std::uint64_t it = 1; it <= 4; ++it)
            CPPUNIT_ASSERT(bench.claim(it, it, it == 4 ? bench.now : 0) == ClaimDecision::Granted);
        CPPUNIT_ASSERT(bench.complete(1, 1));
        CPPUNIT_ASSERT(bench.release(2, 2));
        const auto good = bench.table.encode();
        for (std::size_t it = 0; it < good.size(); ++it) {
            auto flipped = good;
            flipped[it] ^= 1U;
            CPPUNIT_ASSERT(isRefused(flipped));
            CPPUNIT_ASSERT(isRefused(Bytes(good.begin(), good.begin() + static_cast<long>(it))));
        }
        CPPUNIT_ASSERT(ClaimTable::decode(good).encode() == good);
    }

    void digestsSeparateServices()
    {
        const ServiceName kits("kits");
        CPPUNIT_ASSERT(digestKey(kits, "a") == digestKey(kits, "a"));
        CPPUNIT_ASSERT(digestKey(kits, "a") != digestKey(kits, "b"));
        CPPUNIT_ASSERT(digestKey(kits, "a") != digestKey(ServiceName("couriers"), "a"));
        CPPUNIT_ASSERT(digestKey(kits, "sa") != digestKey(ServiceName("kitss"), "a"));
    }

    void readsTimeOfVersion7Only()
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
    // One operation on one of six keys, made from random bits; half of the keys state a time.
    static ClaimOutcome perform(Bench &bench, std::uint32_t bits, Ledger *ledger)
    {
        const std::uint64_t key = bits / 16 % 6 + 1;
        const std::uint64_t id = bits / 128 % 4 + 1;
        const auto back = std::min<std::uint64_t>(bench.table.position(), bits / 512 % 8);
        const auto seen = bench.table.position() - back;
        const auto keyTime = key % 2 == 0 ? Hour * 1000 + static_cast<UnixMillis>(key) : 0;
        bench.now += bits / 4096 % 8 == 0 ? 70'000 : bits / 4096 % 4;
        switch (bits % 4) {
        case 0:
        case 1: {
            auto outcome = bench.claimSeen(key, id, seen, keyTime);
            if (ledger != nullptr && outcome.decision == ClaimDecision::Granted)
                ledger->checkGrant(key, id, seen);

            return outcome;
        }
        case 2: {
            const bool kept = bench.complete(key, id);
            if (ledger != nullptr && kept)
                ledger->finished.insert(key);
            return { ClaimDecision::Finished, kept ? std::optional(answerOf(id)) : std::nullopt };
        }
        default: {
            const bool freed = bench.release(key, id);
            if (ledger != nullptr && freed)
                noteRelease(*ledger, bench, key, id);
            return { freed ? ClaimDecision::Granted : ClaimDecision::Full, {} };
        }
        }
    }

    static void noteRelease(Ledger &ledger, const Bench &bench, std::uint64_t key, std::uint64_t id)
    {
        RC_ASSERT(ledger.finished.count(key) == 0U);
        const auto held = ledger.holder.find(key);
        if (held == ledger.holder.end() || held->second != id)
            return; // A release that was sent again.
        ledger.holder.erase(held);
        ledger.notBefore[key] = bench.table.position();
    }

    static bool isRefused(const Bytes &bytes)
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
