#include <ggv/state/health/connection_generation.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;

constexpr auto Bound = Duration(1'000'000);

class ConnectionGenerationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionGenerationTest);
    CPPUNIT_TEST(silenceRetiresTheWholeGeneration);
    CPPUNIT_TEST(idlePeerIsNotSilent);
    CPPUNIT_TEST(oldConnectionsDoNotSpeakForNewOnes);
    CPPUNIT_TEST_SUITE_END();

public:
    void silenceRetiresTheWholeGeneration()
    {
        ConnectionGeneration generation(Bound);
        const auto first = generation.current();
        const Instant now { Bound };
        generation.onSent(first, now);
        CPPUNIT_ASSERT(!generation.retireIfSilent(now + Bound - Duration(1)));
        CPPUNIT_ASSERT(generation.retireIfSilent(now + Bound));
        CPPUNIT_ASSERT(!generation.isUsable(first));
    }

    void idlePeerIsNotSilent()
    {
        ConnectionGeneration generation(Bound);
        const Instant now { Bound };
        generation.onSent(generation.current(), now);
        generation.onFinished(generation.current());
        CPPUNIT_ASSERT(!generation.retireIfSilent(now + 10 * Bound));
        generation.onSent(generation.current(), now + 10 * Bound);
        CPPUNIT_ASSERT(!generation.retireIfSilent(now + 10 * Bound));
    }

    void oldConnectionsDoNotSpeakForNewOnes()
    {
        ConnectionGeneration generation(Bound);
        const auto first = generation.current();
        const Instant now { Bound };
        generation.onSent(first, now);
        CPPUNIT_ASSERT(generation.retireIfSilent(now + Bound));
        generation.onSent(generation.current(), now + Bound);
        generation.onReceived(first, now + 2 * Bound);
        generation.onFinished(first);
        CPPUNIT_ASSERT(generation.retireIfSilent(now + 2 * Bound));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionGenerationTest);

} // namespace
