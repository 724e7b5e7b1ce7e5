#include <ggv/state/core/result_code.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace {

class ResultCodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ResultCodeTest);
    CPPUNIT_TEST(namesAreUnique);
    CPPUNIT_TEST(unlistedNumbersHaveNoName);
    CPPUNIT_TEST_SUITE_END();

public:
    void namesAreUnique()
    {
        std::set<std::string> names;
        std::size_t listed = 0;
        for (std::uint16_t number = 0; number < 1000; ++number) {
            const std::string name(ggv::resultCodeName(static_cast<ggv::ResultCode>(number)));
            if (name == "unlisted")
                continue;
            ++listed;
            names.insert(name);
        }
        CPPUNIT_ASSERT(listed > 40);
        CPPUNIT_ASSERT_EQUAL(listed, names.size());
    }

    void unlistedNumbersHaveNoName()
    {
        const auto code = static_cast<ggv::ResultCode>(999);
        CPPUNIT_ASSERT_EQUAL(std::string("unlisted"), std::string(ggv::resultCodeName(code)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResultCodeTest);

} // namespace
