#include <ggv/ctl/access.hpp>

#include <ggv/ctl/text_file.hpp>
#include <ggv/state/model/endpoint_text.hpp>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace ggv {

namespace {

const char *const TokenVariable = "GREENGAGEVALVE_TOKEN";

std::string firstLine(const std::string &text)
{
    const auto end = text.find_first_of("\r\n");
    return text.substr(0, end);
}

std::string tokenOf(const Arguments &arguments)
{
    if (const auto token = arguments.text(Option::Token))
        return *token;
    if (const auto file = arguments.text(Option::TokenFile))
        return firstLine(readTextFile(*file).value());
    const char *variable = std::getenv(TokenVariable); // NOLINT(concurrency-mt-unsafe)
    return variable == nullptr ? "" : variable;
}

// Other characters could end the header line that carries the token.
bool isToken(const std::string &text)
{
    const auto visible = [](char c) { return c > ' ' && c <= '~'; };
    return !text.empty() && std::all_of(text.begin(), text.end(), visible);
}

} // namespace

Result<Access> Access::fromArguments(const Arguments &arguments)
{
    const auto invalid
        = [](const std::string &message) { return Error(ResultCode::SettingsInvalid, message); };
    if (!arguments.has(Option::Host))
        return invalid("--host is needed");
    if (arguments.has(Option::Token) && arguments.has(Option::TokenFile))
        return invalid("give --token or --token-file, not both");
    Access access;
    std::istringstream parts(*arguments.text(Option::Host));
    for (std::string part; std::getline(parts, part, ',');) {
        const auto endpoint = parseEndpoint(part);
        if (!endpoint)
            return invalid("--host: '" + part + "' is not ADDR:PORT");
        access.hosts.push_back(*endpoint);
    }
    if (access.hosts.empty())
        return invalid("--host is needed");
    try {
        access.token = tokenOf(arguments);
    } catch (const Error &error) {
        return error;
    }
    if (!isToken(access.token))
        return invalid("a token of visible characters is needed: --token, --token-file or "
                       "GREENGAGEVALVE_TOKEN");
    return access;
}

} // namespace ggv
