#include <ggv/coordination/claims/claimant_id.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace {

class ClaimantIdTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimantIdTest);
    CPPUNIT_TEST(processesThatStartTogetherDiffer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Two processes with the same id would take each other's claims for their own, so that a
    // non-idempotent request could run twice.
    void processesThatStartTogetherDiffer()
    {
        constexpr std::size_t Processes = 1000;
        std::set<std::uint64_t> ids;
        for (std::size_t n = 0; n < Processes; ++n)
            ids.insert(ggv::createClaimantId());
        CPPUNIT_ASSERT_EQUAL(Processes, ids.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimantIdTest);

} // namespace
