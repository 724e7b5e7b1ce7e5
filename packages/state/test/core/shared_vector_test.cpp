#include <ggv/state/core/shared_vector.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::SharedVector;

class SharedVectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SharedVectorTest);
    CPPUNIT_TEST(copiesShareUntilOneChanges);
    CPPUNIT_TEST(comparesByElements);
    CPPUNIT_TEST(soleOwnerIsChangedInPlace);
    CPPUNIT_TEST_SUITE_END();

public:
    void copiesShareUntilOneChanges()
    {
        const SharedVector<int> original { 1, 2 };
        auto copy = original;
        CPPUNIT_ASSERT(copy.sharesWith(original));
        copy.push_back(3);
        copy[0] = 7;
        CPPUNIT_ASSERT(!copy.sharesWith(original));
        CPPUNIT_ASSERT((original.items() == std::vector { 1, 2 }));
        CPPUNIT_ASSERT((copy.items() == std::vector { 7, 2, 3 }));
    }

    void comparesByElements()
    {
        const SharedVector<int> one { 1, 2 };
        const SharedVector<int> same { 1, 2 };
        const SharedVector<int> larger { 1, 3 };
        SharedVector<int> cleared { 5 };
        cleared.clear();
        CPPUNIT_ASSERT(one == same && !one.sharesWith(same));
        CPPUNIT_ASSERT(one < larger);
        CPPUNIT_ASSERT(cleared == SharedVector<int>());
        CPPUNIT_ASSERT(SharedVector<int>().empty());
    }

    void soleOwnerIsChangedInPlace()
    {
        SharedVector<int> items { 1, 2 };
        const auto *first = &items.items().front();
        items[1] = 5;
        CPPUNIT_ASSERT_EQUAL(first, &items.items().front());
        CPPUNIT_ASSERT_EQUAL(5, items.back());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedVectorTest);

} // namespace
