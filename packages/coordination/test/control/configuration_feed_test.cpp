#include <ggv/coordination/control/configuration_feed.hpp>

#include <model/sample_register.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::Bytes;
using ggv::ConfigurationFeed;
using ggv::Register;
using ggv::RegisterVersion;

class ConfigurationFeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationFeedTest);
    CPPUNIT_TEST(largeDeltasDoNotAccumulateInMemory);
    CPPUNIT_TEST(deltaLargerThanTheBoundIsNotRetained);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against hosts that outgrow their memory after many changes that replace the register.
    void largeDeltasDoNotAccumulateInMemory()
    {
        constexpr std::size_t DeltaBytes = 1'000'000;
        constexpr RegisterVersion Changes = 40;
        constexpr std::size_t MaxBytes = std::size_t { 32 } * 1024 * 1024;
        ConfigurationFeed feed;
        for (RegisterVersion version = 1; version <= Changes; ++version) {
            accept(feed, version, DeltaBytes);
            CPPUNIT_ASSERT(feed.retainedBytes() <= MaxBytes);
        }
        // A host that lags by one version gets the delta, one that lags by many the register.
        CPPUNIT_ASSERT_EQUAL(DeltaBytes, feed.updateFor(Changes - 1)->content.size());
        const auto complete = feed.updateFor(1);
        CPPUNIT_ASSERT_EQUAL(RegisterVersion { 0 }, complete->from);
        CPPUNIT_ASSERT_EQUAL(Changes, complete->to);
    }

    void deltaLargerThanTheBoundIsNotRetained()
    {
        ConfigurationFeed feed;
        accept(feed, 1, 100);
        accept(feed, 2, ConfigurationFeed::MaxRetainedBytes + 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, feed.retainedBytes());
        CPPUNIT_ASSERT_EQUAL(RegisterVersion { 0 }, feed.updateFor(1)->from);
        accept(feed, 3, 100);
        CPPUNIT_ASSERT_EQUAL(RegisterVersion { 2 }, feed.updateFor(2)->from);
    }

private:
    static void accept(ConfigurationFeed &feed, RegisterVersion version, std::size_t deltaBytes)
    {
        auto content = std::make_shared<const Register>(
            Register::create(version, ggv::test::sampleContent()).value());
        CPPUNIT_ASSERT(feed.accept(std::move(content), Bytes(deltaBytes)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationFeedTest);

} // namespace
