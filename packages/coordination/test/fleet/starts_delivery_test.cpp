#include <ggv/coordination/fleet/starts_delivery.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::StartsDelivery;
using ggv::TargetStart;
using ggv::TargetStarts;

class StartsDeliveryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StartsDeliveryTest);
    CPPUNIT_TEST(onlyChangesAreSent);
    CPPUNIT_TEST(firstListBetweenControlHostsComesWithoutStarts);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_starts.record({ 1, 5 });
        m_starts.record({ 2, 6 });
    }

    void onlyChangesAreSent()
    {
        auto delivery = StartsDelivery::fromFirstList();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, delivery.take(m_starts).size());
        CPPUNIT_ASSERT(delivery.take(m_starts).empty());
        m_starts.record({ 2, 7 });
        const std::vector changed { TargetStart { 2, 7 } };
        CPPUNIT_ASSERT(changed == delivery.take(m_starts));
        CPPUNIT_ASSERT(delivery.take(m_starts).empty());
    }

    // Guards against a first list that is late on full links at the start of a large fleet, so that
    // many control hosts read the platform's list themselves.
    void firstListBetweenControlHostsComesWithoutStarts()
    {
        auto delivery = StartsDelivery::fromSecondList();
        CPPUNIT_ASSERT(delivery.take(m_starts).empty());
        m_starts.record({ 2, 7 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, delivery.take(m_starts).size());
        CPPUNIT_ASSERT(delivery.take(m_starts).empty());
    }

private:
    TargetStarts m_starts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartsDeliveryTest);

} // namespace
