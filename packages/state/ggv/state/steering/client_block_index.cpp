#include <ggv/state/steering/client_block_index.hpp>

#include <ggv/state/core/error.hpp>

#include <algorithm>
#include <limits>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace ggv {

namespace {

using DomainIndex = ClientBlockIndex::DomainIndex;

constexpr DomainIndex NoDomain = std::numeric_limits<DomainIndex>::max();
constexpr unsigned DirectoryBits = 16;
constexpr std::size_t DirectorySize = std::size_t { 1 } << DirectoryBits;

struct OwnedPrefix
{
    IpPrefix prefix;
    DomainIndex owner = NoDomain;

    // A block sorts before the blocks that it contains.
    [[nodiscard]] bool operator<(const OwnedPrefix &other) const noexcept
    {
        return prefix < other.prefix;
    }
};

struct OwnedRange
{
    IpAddress start;
    DomainIndex owner = NoDomain;
};

// Returns the next address, or std::nullopt for the last address of the family.
std::optional<IpAddress> nextAddress(IpAddress address) noexcept
{
    constexpr auto LastWord = std::numeric_limits<std::uint64_t>::max();
    const bool isIpv4 = address.family == IpFamily::V4;
    const auto lastLow = isIpv4 ? std::numeric_limits<std::uint32_t>::max() : LastWord;
    const bool carries = address.low == lastLow;
    if (carries && (isIpv4 || address.high == LastWord))
        return std::nullopt;
    address.low = carries ? 0 : address.low + 1;
    address.high += carries ? 1 : 0;
    return address;
}

// Converts sorted, possibly nested blocks into disjoint ranges that cover the whole address family.
class Flattener
{
public:
    explicit Flattener(IpFamily family) { append({ family, 0, 0 }, NoDomain); }

    void add(const OwnedPrefix &block)
    {
        while (!m_open.empty() && m_open.back().last < block.prefix.address)
            close();
        m_open.push_back({ block.prefix.last(), block.owner });
        append(block.prefix.address, block.owner);
    }

    [[nodiscard]] std::vector<OwnedRange> finish()
    {
        while (!m_open.empty())
            close();
        return std::move(m_ranges);
    }

private:
    struct OpenBlock
    {
        IpAddress last;
        DomainIndex owner = NoDomain;
    };

    // Ends the innermost block; the addresses after it belong to the enclosing block.
    void close()
    {
        const auto after = nextAddress(m_open.back().last);
        m_open.pop_back();
        if (after)
            append(*after, m_open.empty() ? NoDomain : m_open.back().owner);
    }

    void append(const IpAddress &start, DomainIndex owner)
    {
        if (!m_ranges.empty() && m_ranges.back().start == start)
            m_ranges.pop_back();
        if (m_ranges.empty() || m_ranges.back().owner != owner)
            m_ranges.push_back({ start, owner });
    }

    std::vector<OpenBlock> m_open;
    std::vector<OwnedRange> m_ranges;
};

template <typename Iterator, typename Start>
DomainIndex ownerOf(Iterator first, Iterator last, Iterator begin, const Start &address,
                    const std::vector<DomainIndex> &owners) noexcept
{
    const auto after = std::upper_bound(first, last, address);
    return owners[static_cast<std::size_t>(after - begin) - 1];
}

template <typename Value>
std::size_t bytesOf(const std::vector<Value> &values) noexcept
{
    return values.capacity() * sizeof(Value);
}

} // namespace

class ClientBlockIndex::Builder
{
public:
    explicit Builder(const std::vector<ClientBlock> &blocks)
    {
        m_blocks.reserve(blocks.size());
        for (const auto &it : blocks) {
            if (const auto prefix = IpPrefix::parse(it.prefix))
                m_blocks.push_back({ *prefix, numberOf(it.nearest) });
        }
        std::sort(m_blocks.begin(), m_blocks.end());
    }

    ClientBlockIndex build()
    {
        for (const auto &it : flatten(IpFamily::V4)) {
            m_index.m_ipv4.starts.push_back(static_cast<std::uint32_t>(it.start.low));
            m_index.m_ipv4.owners.push_back(it.owner);
        }
        for (const auto &it : flatten(IpFamily::V6)) {
            m_index.m_ipv6.starts.push_back({ it.start.high, it.start.low });
            m_index.m_ipv6.owners.push_back(it.owner);
        }
        m_index.m_ipv4.starts.shrink_to_fit();
        m_index.m_ipv4.owners.shrink_to_fit();
        m_index.m_ipv6.starts.shrink_to_fit();
        m_index.m_ipv6.owners.shrink_to_fit();
        buildDirectory();
        return std::move(m_index);
    }

private:
    DomainIndex numberOf(const FailureDomainName &domain)
    {
        const auto next = static_cast<DomainIndex>(m_index.m_domains.size());
        const auto [it, isNew] = m_numbers.emplace(domain.text(), next);
        if (!isNew)
            return it->second;
        if (next == NoDomain)
            throw Error(ResultCode::RegisterInvalid, "client blocks name too many domains");
        m_index.m_domains.push_back(domain);
        return next;
    }

    [[nodiscard]] std::vector<OwnedRange> flatten(IpFamily family) const
    {
        Flattener flattener(family);
        for (const auto &it : m_blocks) {
            if (it.prefix.address.family == family)
                flattener.add(it);
        }
        return flattener.finish();
    }

    void buildDirectory()
    {
        const auto &starts = m_index.m_ipv4.starts;
        auto &directory = m_index.m_directory;
        directory.reserve(DirectorySize + 1);
        std::uint32_t range = 0;
        for (std::size_t prefix = 0; prefix < DirectorySize; ++prefix) {
            while (range < starts.size() && (starts[range] >> DirectoryBits) < prefix)
                ++range;
            directory.push_back(range);
        }
        directory.push_back(static_cast<std::uint32_t>(starts.size()));
    }

    ClientBlockIndex m_index;
    std::vector<OwnedPrefix> m_blocks;
    std::unordered_map<std::string_view, DomainIndex> m_numbers;
};

ClientBlockIndex ClientBlockIndex::build(const std::vector<ClientBlock> &blocks)
{
    return Builder(blocks).build();
}

std::optional<ClientBlockIndex::DomainIndex>
ClientBlockIndex::find(const IpAddress &client) const noexcept
{
    DomainIndex owner = NoDomain;
    if (client.family == IpFamily::V4) {
        const auto address = static_cast<std::uint32_t>(client.low);
        const auto prefix = address >> DirectoryBits;
        const auto begin = m_ipv4.starts.begin();
        owner = ownerOf(begin + m_directory[prefix], begin + m_directory[prefix + 1], begin,
                        address, m_ipv4.owners);
    } else {
        const Ipv6Start address { client.high, client.low };
        const auto begin = m_ipv6.starts.begin();
        owner = ownerOf(begin, m_ipv6.starts.end(), begin, address, m_ipv6.owners);
    }
    return owner == NoDomain ? std::nullopt : std::optional(owner);
}

std::size_t ClientBlockIndex::rangeCount() const noexcept
{
    return m_ipv4.starts.size() + m_ipv6.starts.size();
}

std::size_t ClientBlockIndex::memoryBytes() const noexcept
{
    return bytesOf(m_ipv4.starts) + bytesOf(m_ipv4.owners) + bytesOf(m_ipv6.starts)
        + bytesOf(m_ipv6.owners) + bytesOf(m_directory) + bytesOf(m_domains);
}

} // namespace ggv
