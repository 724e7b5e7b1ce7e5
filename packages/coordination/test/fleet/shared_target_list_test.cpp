#include <ggv/coordination/fleet/shared_target_list.hpp>
#include <ggv/protocol/codec/fleet_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>

namespace {

using ggv::Duration;
using ggv::Instant;
using ggv::ListedTarget;
using ggv::SharedTargetList;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Targets = 300;
constexpr Instant Start { seconds(100) };

ListedTarget target(int number, Duration coldDuration = Duration(0))
{
    ListedTarget listed;
    listed.instance = "i-" + std::to_string(number);
    listed.service = ggv::ServiceName("s");
    listed.endpoint = { "10.0.0.1", static_cast<std::uint16_t>(number) };
    listed.coldDuration = coldDuration;
    return listed;
}

std::vector<ListedTarget> manyTargets()
{
    std::vector<ListedTarget> targets;
    targets.reserve(Targets);
    for (int n = 0; n < Targets; ++n)
        targets.push_back(target(n));
    return targets;
}

class SharedTargetListTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SharedTargetListTest);
    CPPUNIT_TEST(smallChangeIsSentAsDelta);
    CPPUNIT_TEST(completeListIsSentForUnknownBase);
    CPPUNIT_TEST(readingAgeAndUpdateTimeAreIndependent);
    CPPUNIT_TEST(coldTimeCountdownKeepsDigest);
    CPPUNIT_TEST(deltaFromAnEarlierListIsApplied);
    CPPUNIT_TEST(olderListIsABaseOfLaterOnes);
    CPPUNIT_TEST(delayedListDoesNotHideTheNextOne);
    CPPUNIT_TEST(startsTravelApartFromTheList);
    CPPUNIT_TEST(receiverConvergesForAnyHistory);
    CPPUNIT_TEST(receiverFollowsAnySendersAndDelays);
    CPPUNIT_TEST_SUITE_END();

public:
    void smallChangeIsSentAsDelta()
    {
        SharedTargetList sender;
        SharedTargetList receiver;
        auto targets = manyTargets();
        sender.replace(targets, Start, Start);
        CPPUNIT_ASSERT(receiver.apply(sender.report(0, Start), Start, Start));
        targets[7] = target(7, seconds(3));
        targets.pop_back();
        sender.replace(targets, Start + seconds(1), Start + seconds(1));
        const auto report = sender.report(receiver.digest(), Start + seconds(1));
        // Less than a tenth of the complete list, which takes about 50 bytes per target.
        CPPUNIT_ASSERT(ggv::encodeFleetMessage(report).size() < Targets * 50 / 10);
        CPPUNIT_ASSERT(receiver.apply(report, Start + seconds(1), Start + seconds(1)));
        CPPUNIT_ASSERT(receiver.list() == sender.list());
    }

    // Older builds compare digests of lists without starts.
    void startsTravelApartFromTheList()
    {
        SharedTargetList sender;
        SharedTargetList receiver;
        auto targets = manyTargets();
        sender.replace(targets, Start, Start);
        const auto digest = sender.digest();
        targets[7].startedAt = 5;
        sender.replace(targets, Start + seconds(1), Start + seconds(1));
        CPPUNIT_ASSERT_EQUAL(digest, sender.digest());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, sender.starts().changedSince(0).size());
        CPPUNIT_ASSERT(receiver.applyStarts(sender.starts().changedSince(0)));
        CPPUNIT_ASSERT(!receiver.applyStarts(sender.starts().changedSince(0)));
        CPPUNIT_ASSERT(receiver.apply(sender.report(0, Start + seconds(1)), Start + seconds(1),
                                      Start + seconds(1)));
        const auto received = receiver.listWithStarts().targets;
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 1 },
                             std::count_if(received.begin(), received.end(), [](const auto &it) {
                                 return it.startedAt == 5 && it.instance == "i-7";
                             }));
    }

    void completeListIsSentForUnknownBase()
    {
        SharedTargetList sender;
        sender.replace(manyTargets(), Start, Start);
        sender.replace({ target(1) }, Start + seconds(1), Start + seconds(1));
        CPPUNIT_ASSERT(sender.report(12345, Start).targets.has_value());
        SharedTargetList receiver;
        auto report = sender.report(sender.digest(), Start + seconds(1));
        CPPUNIT_ASSERT(!receiver.apply(report, Start + seconds(1), Start + seconds(1)));
        report.delta = ggv::TargetListDelta { 12345, { 0 }, {} };
        CPPUNIT_ASSERT(!receiver.hasReceived(report));
        CPPUNIT_ASSERT(!receiver.apply(report, Start + seconds(1), Start + seconds(1)));
        CPPUNIT_ASSERT(!receiver.hasReceived(report));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, receiver.digest());
    }

    void readingAgeAndUpdateTimeAreIndependent()
    {
        SharedTargetList sender;
        sender.replace(manyTargets(), Start, Start + seconds(1));
        SharedTargetList receiver;
        CPPUNIT_ASSERT(receiver.apply(sender.report(0, Start + seconds(1)), Start + seconds(1),
                                      Start + seconds(1)));
        CPPUNIT_ASSERT(Duration(seconds(2)) == receiver.age(Start + seconds(2)));
        CPPUNIT_ASSERT(Duration(seconds(1)) == receiver.timeSinceUpdate(Start + seconds(2)));
    }

    void coldTimeCountdownKeepsDigest()
    {
        SharedTargetList list;
        list.replace({ target(1, seconds(3)) }, Start, Start);
        const auto digest = list.digest();
        list.replace({ target(1, milliseconds(2100)) }, Start + seconds(1), Start + seconds(1));
        list.replace({ target(1, milliseconds(800)) }, Start + seconds(2), Start + seconds(2));
        CPPUNIT_ASSERT_EQUAL(digest, list.digest());
        // Longer than the countdown allows: the target may have restarted.
        list.replace({ target(1, milliseconds(950)) }, Start + milliseconds(2300),
                     Start + milliseconds(2300));
        CPPUNIT_ASSERT(Duration(milliseconds(950)) == list.list().targets.front().coldDuration);
        // The target becomes cold again, then warm.
        list.replace({ target(1, seconds(3)) }, Start + seconds(3), Start + seconds(3));
        CPPUNIT_ASSERT(Duration(seconds(3)) == list.list().targets.front().coldDuration);
        list.replace({ target(1, seconds(3)) }, Start + seconds(4), Start + seconds(4));
        list.replace({ target(1) }, Start + seconds(7), Start + seconds(7));
        CPPUNIT_ASSERT(digest != list.digest());
    }

    // The sender knows this host's list from a report that is older than the last delta.
    void deltaFromAnEarlierListIsApplied()
    {
        SharedTargetList sender;
        SharedTargetList receiver;
        std::vector<std::uint64_t> digests;
        for (int n = 0; n < 20; ++n) {
            const Instant now = Start + seconds(n);
            auto targets = manyTargets();
            targets[n].leaving = true;
            sender.replace(targets, now, now);
            digests.push_back(sender.digest());
            const auto known = digests[digests.size() / 2];
            const auto report = sender.report(n < 2 ? 0 : known, now);
            CPPUNIT_ASSERT(n < 2 || report.delta || known == sender.digest());
            (void)receiver.apply(report, now, now);
            CPPUNIT_ASSERT(receiver.list() == sender.list());
        }
    }

    // A list that is not newer is not put in force, but the next delta refers to it.
    void olderListIsABaseOfLaterOnes()
    {
        SharedTargetList sender;
        SharedTargetList receiver;
        receiver.replace({ target(1) }, Start + seconds(1), Start + seconds(1));
        sender.replace(manyTargets(), Start, Start);
        const Instant now = Start + seconds(2);
        CPPUNIT_ASSERT(!receiver.apply(sender.report(receiver.digest(), now), now, now));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, receiver.list().targets.size());
        CPPUNIT_ASSERT_EQUAL(sender.digest(), receiver.receivedDigest());
        const auto older = sender.digest();
        auto targets = manyTargets();
        targets.pop_back();
        sender.replace(targets, now, now);
        const auto report = sender.report(older, now);
        CPPUNIT_ASSERT(report.delta.has_value());
        CPPUNIT_ASSERT(receiver.apply(report, now, now));
        CPPUNIT_ASSERT(receiver.list() == sender.list());
    }

    void delayedListDoesNotHideTheNextOne()
    {
        SharedTargetList first;
        SharedTargetList second;
        SharedTargetList receiver;
        first.replace({ target(1) }, Start, Start);
        second.replace({ target(2) }, Start + seconds(1), Start + seconds(1));
        // Sent at once, arrives after two seconds.
        CPPUNIT_ASSERT(receiver.apply(first.report(0, Start), Start, Start + seconds(2)));
        const Instant now = Start + seconds(2);
        CPPUNIT_ASSERT(receiver.apply(second.report(0, now), now, now));
        CPPUNIT_ASSERT(receiver.list() == second.list());
    }

    // In each round, one sender's list is delayed while both senders read newer ones; the host then
    // connects to the one with the newest list, and back to the other.
    void receiverFollowsAnySendersAndDelays()
    {
        CPPUNIT_ASSERT(rc::check("the receiver has the newest list that it was sent", [] {
            std::array<SharedTargetList, 2> senders;
            SharedTargetList receiver;
            Instant now = Start;
            const auto rounds = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<int>>(rc::gen::inRange(4, 3000)));
            for (std::size_t n = 0; n < rounds.size(); ++n) {
                auto &first = senders.at(n % 2);
                auto &second = senders.at(1 - n % 2);
                const milliseconds delay(rounds[n]);
                const auto number = static_cast<std::size_t>(n) * 3 % Targets;
                now += seconds(1);
                replaceOne(first, number, now);
                const auto delayed = first.report(receiver.receivedDigest(), now);
                replaceOne(second, number + 1, now + delay / 2);
                (void)receiver.apply(delayed, now, now + delay);
                RC_ASSERT(receiver.list() == first.list());
                replaceOne(first, number + 3, now + delay / 4);
                now += delay;
                deliver(second, receiver, now);
                RC_ASSERT(receiver.list() == second.list());
                const auto older = first.digest();
                deliver(first, receiver, now);
                RC_ASSERT(receiver.list() == second.list());
                now += seconds(1);
                replaceOne(first, number + 2, now);
                const auto delta = first.report(older, now);
                RC_ASSERT(delta.delta.has_value());
                (void)receiver.apply(delta, now, now);
                RC_ASSERT(receiver.list() == first.list());
            }
        }));
    }

    void receiverConvergesForAnyHistory()
    {
        CPPUNIT_ASSERT(rc::check("the receiver's list equals the sender's last delivered list", [] {
            SharedTargetList sender;
            SharedTargetList receiver;
            std::uint64_t sent = 0;
            const auto steps = *rc::gen::container<std::vector<std::pair<std::vector<int>, bool>>>(
                rc::gen::pair(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12)),
                              rc::gen::arbitrary<bool>()));
            Instant now = Start;
            for (const auto &[numbers, isDelivered] : steps) {
                now += seconds(1);
                std::vector<ListedTarget> targets;
                for (const int number : numbers)
                    targets.push_back(target(number));
                sender.replace(targets, now, now);
                if (!isDelivered)
                    continue;
                (void)receiver.apply(sender.report(sent, now), now, now);
                sent = sender.digest();
                RC_ASSERT(receiver.list() == sender.list());
            }
        }));
    }

private:
    // A reading in which one target is leaving.
    static void replaceOne(SharedTargetList &list, std::size_t number, Instant readAt)
    {
        auto targets = manyTargets();
        targets.at(number % Targets).leaving = true;
        list.replace(std::move(targets), readAt, readAt);
    }

    static void deliver(SharedTargetList &sender, SharedTargetList &receiver, Instant now)
    {
        (void)receiver.apply(sender.report(receiver.receivedDigest(), now), now, now);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedTargetListTest);

} // namespace
