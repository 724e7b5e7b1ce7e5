#include <ggv/state/steering/client_block_index.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace {

using namespace ggv;

// Few distinct bits, so that blocks are often nested or adjacent.
std::uint64_t sparseWord()
{
    return *rc::gen::element<std::uint64_t>(0, 1, 0x80, 0xa0000000, 0xa0010000, 0xffffffff,
                                            0xa000000000000000, 0xffffffffffffffff)
        ^ *rc::gen::inRange<std::uint64_t>(0, 4);
}

IpAddress randomAddress()
{
    if (*rc::gen::arbitrary<bool>())
        return { IpFamily::V4, 0, sparseWord() & 0xffffffff };
    return { IpFamily::V6, sparseWord(), sparseWord() };
}

IpPrefix randomPrefix()
{
    const auto address = randomAddress();
    const auto bits = address.family == IpFamily::V4 ? Ipv4Bits : Ipv6Bits;
    const auto length = *rc::gen::inRange(0, bits + 1);
    return IpPrefix::parse(address.text() + '/' + std::to_string(length)).value();
}

std::vector<ClientBlock> randomBlocks()
{
    std::vector<ClientBlock> blocks;
    const auto count = *rc::gen::inRange(0, 40);
    for (int i = 0; i < count; ++i) {
        const auto domain = "d" + std::to_string(*rc::gen::inRange(0, 4));
        const ClientBlock block { randomPrefix().text(), FailureDomainName(domain) };
        const auto isSame = [&](const ClientBlock &it) { return it.prefix == block.prefix; };
        if (std::none_of(blocks.begin(), blocks.end(), isSame))
            blocks.push_back(block);
    }
    return blocks;
}

// Reference implementation: longest prefix match by linear search.
std::string findLinearly(const std::vector<ClientBlock> &blocks, const IpAddress &client)
{
    int longest = -1;
    std::string nearest;
    for (const auto &it : blocks) {
        const auto prefix = IpPrefix::parse(it.prefix).value();
        if (!prefix.contains(client) || prefix.length <= longest)
            continue;
        longest = prefix.length;
        nearest = it.nearest.text();
    }
    return nearest;
}

std::string find(const ClientBlockIndex &index, const IpAddress &client)
{
    const auto domain = index.find(client);
    return domain ? index.nearestDomains().at(*domain).text() : std::string();
}

class ClientBlockIndexTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClientBlockIndexTest);
    CPPUNIT_TEST(longestBlockWins);
    CPPUNIT_TEST(edgesOfTheAddressSpaceAreFound);
    CPPUNIT_TEST_SUITE_END();

public:
    void longestBlockWins()
    {
        CPPUNIT_ASSERT(rc::check("the index agrees with a linear search over all blocks", [] {
            const auto blocks = randomBlocks();
            const auto index = ClientBlockIndex::build(blocks);
            std::vector<IpAddress> clients { randomAddress(), randomAddress() };
            for (const auto &it : blocks) {
                const auto prefix = IpPrefix::parse(it.prefix).value();
                clients.push_back(prefix.address);
                clients.push_back(prefix.last());
            }
            for (const auto &it : clients)
                RC_ASSERT(find(index, it) == findLinearly(blocks, it));
        }));
    }

    void edgesOfTheAddressSpaceAreFound()
    {
        const auto index = ClientBlockIndex::build({ { "0.0.0.0/0", FailureDomainName("a") },
                                                     { "0.0.0.0/32", FailureDomainName("b") },
                                                     { "255.255.0.0/16", FailureDomainName("c") },
                                                     { "ffff::/16", FailureDomainName("d") } });
        const auto at
            = [&](const char *text) { return find(index, IpAddress::parse(text).value()); };
        CPPUNIT_ASSERT_EQUAL(std::string("b"), at("0.0.0.0"));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), at("0.0.0.1"));
        CPPUNIT_ASSERT_EQUAL(std::string("c"), at("255.255.255.255"));
        CPPUNIT_ASSERT_EQUAL(std::string(), at("::"));
        CPPUNIT_ASSERT_EQUAL(std::string("d"), at("ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClientBlockIndexTest);

} // namespace
