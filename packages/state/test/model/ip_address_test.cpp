#include <ggv/state/model/endpoint_text.hpp>
#include <ggv/state/model/ip_address.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;

// An input and its canonical form, which is empty if the input must be rejected.
struct TextCase
{
    std::string text;
    std::string canonical;
};

const std::vector<TextCase> AddressCases = {
    { "10.1.2.3", "10.1.2.3" },
    { "::ffff:10.1.2.3", "10.1.2.3" },
    { "FD00:0::1", "fd00::1" },
    { "10.1.2", "" },
    { "10.1.2.03", "" },
    { "localhost", "" },
    { "fe80::1%lo", "" },
    { "", "" },
    { std::string("1.2.3.4\0", 8), "" },
    { std::string(100, '1'), "" },
};

const std::vector<TextCase> PrefixCases = {
    { "10.1.2.3/8", "10.0.0.0/8" },
    { "0.0.0.0/0", "0.0.0.0/0" },
    { "255.255.255.255/32", "255.255.255.255/32" },
    { "fd00:1:2:3:4:5:6:7/72", "fd00:1:2:3::/72" },
    { "fd00::1/128", "fd00::1/128" },
    { "ffff::/0", "::/0" },
    { "10.0.0.0/33", "" },
    { "fd00::/129", "" },
    { "10.0.0.0/08", "" },
    { "10.0.0.0/", "" },
    { "10.0.0.0", "" },
    { "10.0.0.0/+8", "" },
};

const std::vector<TextCase> EndpointCases = {
    { "127.0.0.1:80", "127.0.0.1:80" },
    { "[::1]:65535", "[::1]:65535" },
    { "::1:80", "" },
    { "[127.0.0.1]:80", "" },
    { "127.0.0.1:0", "" },
    { "127.0.0.1:65536", "" },
    { "127.0.0.1", "" },
    { "host:80", "" },
    { ":80", "" },
    { "[]:80", "" },
};

class IpAddressTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IpAddressTest);
    CPPUNIT_TEST(textIsConvertedToCanonicalForm);
    CPPUNIT_TEST(blocksContainOnlyTheirAddresses);
    CPPUNIT_TEST_SUITE_END();

public:
    void textIsConvertedToCanonicalForm()
    {
        check(AddressCases, [](const auto &text) {
            const auto address = IpAddress::parse(text);
            return address ? address->text() : "";
        });
        check(PrefixCases, [](const auto &text) {
            const auto prefix = IpPrefix::parse(text);
            return prefix ? prefix->text() : "";
        });
        check(EndpointCases, [](const auto &text) {
            const auto endpoint = parseEndpoint(text);
            return endpoint ? formatEndpoint(*endpoint) : "";
        });
    }

    void blocksContainOnlyTheirAddresses()
    {
        const auto block = IpPrefix::parse("10.1.0.0/16").value();
        const auto holds
            = [&](const char *text) { return block.contains(IpAddress::parse(text).value()); };
        CPPUNIT_ASSERT(holds("10.1.0.0"));
        CPPUNIT_ASSERT(holds("10.1.255.255"));
        CPPUNIT_ASSERT(!holds("10.0.255.255"));
        CPPUNIT_ASSERT(!holds("10.2.0.0"));
        CPPUNIT_ASSERT(!holds("::a01:1"));
    }

private:
    template <typename Convert>
    static void check(const std::vector<TextCase> &cases, Convert convert)
    {
        for (const auto &it : cases)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it.text, it.canonical, std::string(convert(it.text)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IpAddressTest);

} // namespace
