#include <ggv/state/model/endpoint_text.hpp>

#include <ggv/state/model/ip_address.hpp>

#include <charconv>

namespace ggv {

namespace {

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data(), end, port);
    if (ec != std::errc {} || stop != end || port == 0)
        return std::nullopt;
    return port;
}

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto address = text.substr(0, colon);
    const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed)
        address = address.substr(1, address.size() - 2);
    const bool hasColon = address.find(':') != std::string_view::npos;
    const auto port = parsePort(text.substr(colon + 1));
    if (!port || hasColon != bracketed || !IpAddress::parse(address))
        return std::nullopt;
    return Endpoint { std::string(address), *port };
}

std::string formatEndpoint(const Endpoint &endpoint)
{
    const bool hasColon = endpoint.address.find(':') != std::string::npos;
    const auto address = hasColon ? '[' + endpoint.address + ']' : endpoint.address;
    return address + ':' + std::to_string(endpoint.port);
}

} // namespace ggv
