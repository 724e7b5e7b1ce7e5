#include <ggv/coordination/fleet/delivery.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::Delivery;
using ggv::Duration;
using ggv::Instant;
using std::chrono::milliseconds;

constexpr std::int64_t ReportIntervalMillis = 400;

class DeliveryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DeliveryTest);
    CPPUNIT_TEST(reportsSentBeforeTheArrivalAreNoLoss);
    CPPUNIT_TEST(lostUpdateIsNoticed);
    CPPUNIT_TEST(slowProgressIsNoLoss);
    CPPUNIT_TEST(firstReportTellsWhatANewReceiverHolds);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportsSentBeforeTheArrivalAreNoLoss()
    {
        Delivery delivery;
        delivery.onReport(1, at(0));
        delivery.onSent(2, at(1));
        for (int n = 1; n <= 5; ++n) {
            delivery.onReport(1, at(n * ReportIntervalMillis));
            CPPUNIT_ASSERT(delivery.isInFlight());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, delivery.sent());
        }
        delivery.onReport(2, at(2500));
        CPPUNIT_ASSERT(!delivery.isInFlight());
    }

    void lostUpdateIsNoticed()
    {
        Delivery delivery;
        delivery.onReport(1, at(0));
        delivery.onSent(2, at(0));
        delivery.onReport(1, Instant(Delivery::LossTimeout - Duration(1)));
        CPPUNIT_ASSERT(delivery.isInFlight());
        delivery.onReport(1, Instant(Delivery::LossTimeout));
        CPPUNIT_ASSERT(!delivery.isInFlight());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, delivery.sent());
    }

    // A receiver that is always one update behind still holds each of them in the end.
    void slowProgressIsNoLoss()
    {
        Delivery delivery;
        delivery.onReport(1, at(0));
        for (std::uint64_t n = 2; n < 30; ++n) {
            delivery.onSent(n, at(static_cast<std::int64_t>(n) * 900));
            delivery.onReport(n - 1, at(static_cast<std::int64_t>(n) * 900 + 100));
            CPPUNIT_ASSERT_EQUAL(n, delivery.sent());
        }
    }

    void firstReportTellsWhatANewReceiverHolds()
    {
        Delivery delivery;
        delivery.onReport(7, at(0));
        CPPUNIT_ASSERT(!delivery.isInFlight());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 7 }, delivery.held());
    }

private:
    static Instant at(std::int64_t millis) { return Instant(milliseconds(millis)); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DeliveryTest);

} // namespace
