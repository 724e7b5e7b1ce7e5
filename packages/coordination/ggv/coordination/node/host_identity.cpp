#include <ggv/coordination/node/host_identity.hpp>

#include <ggv/state/core/error.hpp>
#include <ggv/transport/net/shared_secret.hpp>

#include <charconv>
#include <string>

#include <xxhash.h>

namespace ggv {

namespace {

constexpr std::string_view IdentityFile = "identity";

//! Returns the content of the identity file: "host\nincarnation\n".
std::string formatIdentity(const HostName &host, std::uint64_t incarnation)
{
    return host.text() + "\n" + std::to_string(incarnation) + "\n";
}

std::uint64_t parseIdentity(const std::string &text, const HostName &host)
{
    const auto end = text.find('\n');
    if (end == std::string::npos)
        throw Error(ResultCode::StorageCorrupt, "identity file of the data folder is malformed");
    if (text.substr(0, end) != host.text())
        throw Error(ResultCode::StorageIdentityMismatch,
                    "data folder belongs to host '" + text.substr(0, end) + "'");
    std::uint64_t incarnation = 0;
    const char *first = text.data() + end + 1;
    const auto [last, status] = std::from_chars(first, text.data() + text.size(), incarnation);
    if (status != std::errc() || incarnation == 0 || *last != '\n')
        throw Error(ResultCode::StorageCorrupt, "identity file of the data folder is malformed");
    return incarnation;
}

std::uint64_t randomIncarnation()
{
    std::uint64_t incarnation = 0;
    while (incarnation <= FirstIncarnation)
        incarnation = randomNumber();
    return incarnation;
}

} // namespace

MemberId memberIdOf(const HostName &host, std::uint64_t incarnation) noexcept
{
    const auto &name = host.text();
    const MemberId id = XXH3_64bits_withSeed(name.data(), name.size(), incarnation);
    return id == 0 ? 1 : id;
}

std::uint64_t loadIncarnation(Disk &disk, const HostName &host, bool initialize)
{
    if (const auto stored = disk.read(IdentityFile))
        return parseIdentity(std::string(stored->begin(), stored->end()), host);
    if (!disk.list().empty())
        throw Error(ResultCode::StorageCorrupt, "data folder contains files but no identity file");
    const std::uint64_t incarnation = initialize ? FirstIncarnation : randomIncarnation();
    const std::string text = formatIdentity(host, incarnation);
    disk.replace(IdentityFile, Bytes(text.begin(), text.end()));
    return incarnation;
}

} // namespace ggv
