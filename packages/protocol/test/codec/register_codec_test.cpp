#include <ggv/protocol/codec/register_codec.hpp>
#include <ggv/state/core/error.hpp>

#include <model/sample_register.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace ggv;
using ggv::test::sampleContent;

template <typename Value>
Value any()
{
    return *rc::gen::arbitrary<Value>();
}

template <typename Name>
Name anyName()
{
    return Name(any<std::string>());
}

Endpoint anyEndpoint() { return { any<std::string>(), any<std::uint16_t>() }; }

Duration anyDuration() { return Duration(any<std::int64_t>()); }

// Generates a delta with up to two changed entities and arbitrary removed keys.
template <typename Make>
auto anyDelta(Make make)
{
    EntityDelta<decltype(make())> delta;
    for (int i = *rc::gen::inRange(0, 3); i > 0; --i)
        delta.put.push_back(make());
    delta.remove = any<std::vector<std::string>>();
    return delta;
}

EntryHost anyHost()
{
    EntryHost host;
    host.name = anyName<HostName>();
    host.domain = anyName<FailureDomainName>();
    host.callers = anyEndpoint();
    host.operators = anyEndpoint();
    host.internal = anyEndpoint();
    host.hasDisk = any<bool>();
    host.incarnation = any<std::uint64_t>();
    host.leaving = any<bool>();
    return host;
}

Service anyService()
{
    Service service;
    service.name = anyName<ServiceName>();
    service.nonIdempotent = { { any<std::string>(), any<std::string>() } };
    if (any<bool>())
        service.claimGroup = anyName<ClaimGroupName>();
    service.defaultDeadline = anyDuration();
    service.maxBodyBytes = any<std::uint64_t>();
    service.typicalExchangeBytes = any<std::uint64_t>();
    service.probePath = any<std::string>();
    return service;
}

Target anyTarget()
{
    Target target;
    target.name = anyName<TargetName>();
    target.service = anyName<ServiceName>();
    target.domain = anyName<FailureDomainName>();
    target.endpoint = anyEndpoint();
    target.slots = any<std::uint32_t>();
    target.connections = any<std::uint32_t>();
    target.leaving = any<bool>();
    return target;
}

Link anyLink()
{
    return { anyName<RegionName>(), anyName<RegionName>(), any<std::uint32_t>(), anyDuration() };
}

ShiftCap anyShiftCap()
{
    return { anyName<ServiceName>(), anyName<RegionName>(), anyName<RegionName>(),
             any<std::uint32_t>() };
}

Drain anyDrain()
{
    const auto scope
        = *rc::gen::element(DrainScope::Target, DrainScope::FailureDomain, DrainScope::Region);
    return { scope, any<std::string>(), any<std::int64_t>(), any<std::int64_t>() };
}

RegisterDelta anyRegisterDelta()
{
    RegisterDelta delta;
    delta.from = any<RegisterVersion>();
    delta.to = any<RegisterVersion>();
    delta.regions = anyDelta([] { return Region { anyName<RegionName>() }; });
    delta.domains = anyDelta([] {
        return FailureDomain { anyName<FailureDomainName>(), anyName<RegionName>() };
    });
    delta.hosts = anyDelta(anyHost);
    delta.controlVoters = anyDelta(anyName<HostName>);
    delta.claimGroups = anyDelta([] {
        return ClaimGroup { anyName<ClaimGroupName>(), { anyName<HostName>() } };
    });
    delta.services = anyDelta(anyService);
    delta.targets = anyDelta(anyTarget);
    delta.links = anyDelta(anyLink);
    delta.clientBlocks = anyDelta([] {
        return ClientBlock { any<std::string>(), anyName<FailureDomainName>() };
    });
    delta.shiftCaps = anyDelta(anyShiftCap);
    delta.drains = anyDelta(anyDrain);
    delta.platformListUrl = any<std::string>();
    return delta;
}

template <typename Decode>
bool isRejected(Decode decode, ByteView bytes)
{
    try {
        static_cast<void>(decode(bytes));
        return false;
    } catch (const Error &) {
        return true;
    }
}

class RegisterCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RegisterCodecTest);
    CPPUNIT_TEST(registerRoundTrips);
    CPPUNIT_TEST(deltasRoundTrip);
    CPPUNIT_TEST(rejectsEveryTruncation);
    CPPUNIT_TEST(corruptedBytesAreRejectedOrDecode);
    CPPUNIT_TEST_SUITE_END();

public:
    void registerRoundTrips()
    {
        const Register content = Register::create(7, sampleContent()).value();
        CPPUNIT_ASSERT(content == decodeRegister(encodeRegister(content)));
        CPPUNIT_ASSERT(Register() == decodeRegister(encodeRegister(Register())));
    }

    void deltasRoundTrip()
    {
        CPPUNIT_ASSERT(rc::check([] {
            const RegisterDelta delta = anyRegisterDelta();
            RC_ASSERT(delta == decodeDelta(encodeDelta(delta)));
        }));
    }

    void rejectsEveryTruncation()
    {
        const Bytes bytes = encodeRegister(Register::create(7, sampleContent()).value());
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CPPUNIT_ASSERT(isRejected(decodeRegister, ByteView(bytes).first(size)));
    }

    // Corrupted bytes are either rejected with an Error or decode to another valid register.
    void corruptedBytesAreRejectedOrDecode()
    {
        const Bytes intact = encodeRegister(Register::create(7, sampleContent()).value());
        for (std::size_t position = 0; position < intact.size(); ++position) {
            Bytes bytes = intact;
            bytes[position] ^= static_cast<std::uint8_t>(1U << (position % 8));
            if (!isRejected(decodeRegister, bytes))
                CPPUNIT_ASSERT(!encodeRegister(decodeRegister(bytes)).empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegisterCodecTest);

} // namespace
