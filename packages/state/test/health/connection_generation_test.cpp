#include <ggv/state/health/connection_generation.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;

constexpr auto SilenceTimeout = Duration(1'000'000);

class ConnectionGenerationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionGenerationTest);
    CPPUNIT_TEST(silenceEndsTheGeneration);
    CPPUNIT_TEST(idlePeerIsNotSilent);
    CPPUNIT_TEST(oldConnectionsDoNotAffectTheNewGeneration);
    CPPUNIT_TEST_SUITE_END();

public:
    void silenceEndsTheGeneration()
    {
        ConnectionGeneration generation(SilenceTimeout);
        const auto first = generation.current();
        const Instant now { SilenceTimeout };
        generation.onSent(first, now);
        CPPUNIT_ASSERT(!generation.retireIfSilent(now + SilenceTimeout - Duration(1)));
        CPPUNIT_ASSERT(generation.retireIfSilent(now + SilenceTimeout));
        CPPUNIT_ASSERT(!generation.isUsable(first));
    }

    void idlePeerIsNotSilent()
    {
        ConnectionGeneration generation(SilenceTimeout);
        const Instant now { SilenceTimeout };
        generation.onSent(generation.current(), now);
        generation.onFinished(generation.current());
        CPPUNIT_ASSERT(!generation.retireIfSilent(now + 10 * SilenceTimeout));
        generation.onSent(generation.current(), now + 10 * SilenceTimeout);
        CPPUNIT_ASSERT(!generation.retireIfSilent(now + 10 * SilenceTimeout));
    }

    void oldConnectionsDoNotAffectTheNewGeneration()
    {
        ConnectionGeneration generation(SilenceTimeout);
        const auto first = generation.current();
        const Instant now { SilenceTimeout };
        generation.onSent(first, now);
        CPPUNIT_ASSERT(generation.retireIfSilent(now + SilenceTimeout));
        generation.onSent(generation.current(), now + SilenceTimeout);
        generation.onReceived(first, now + 2 * SilenceTimeout);
        generation.onFinished(first);
        CPPUNIT_ASSERT(generation.retireIfSilent(now + 2 * SilenceTimeout));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionGenerationTest);

} // namespace
