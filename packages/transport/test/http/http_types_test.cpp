#include <ggv/transport/http/http_types.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;

class HttpTypesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpTypesTest);
    CPPUNIT_TEST(hopByHopNamesAreKnownOrListed);
    CPPUNIT_TEST_SUITE_END();

public:
    void hopByHopNamesAreKnownOrListed()
    {
        const HopByHopHeaders hopByHop(
            { { "connection", "close, X-One" }, { "A", "b" }, { "Connection", "x-two" } });
        for (const char *name :
             { "Connection", "keep-alive", "Transfer-Encoding", "x-one", "X-Two" })
            CPPUNIT_ASSERT_MESSAGE(name, hopByHop.contains(name));
        for (const char *name : { "A", "Content-Length", "X-Three", "" })
            CPPUNIT_ASSERT_MESSAGE(name, !hopByHop.contains(name));
        CPPUNIT_ASSERT(!HopByHopHeaders({}).contains("close"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTypesTest);

} // namespace
