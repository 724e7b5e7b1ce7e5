#include <ggv/ctl/connection_options.hpp>

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

std::string resolveToken(const Arguments &arguments)
{
    if (const auto token = arguments.text(Option::Token))
        return *token;
    if (const auto file = arguments.text(Option::TokenFile))
        return firstLine(readTextFile(*file).value());
    const char *variable = std::getenv(TokenVariable); // NOLINT(concurrency-mt-unsafe)
    return variable == nullptr ? "" : variable;
}

// Accepts printable ASCII only: other characters could end the Authorization header line.
bool isValidToken(const std::string &text)
{
    const auto printable = [](char c) { return c > ' ' && c <= '~'; };
    return !text.empty() && std::all_of(text.begin(), text.end(), printable);
}

} // namespace

Result<ConnectionOptions> ConnectionOptions::fromArguments(const Arguments &arguments)
{
    const auto invalid
        = [](const std::string &message) { return Error(ResultCode::SettingsInvalid, message); };
    if (!arguments.has(Option::Host))
        return invalid("--host is required, with at least one ADDR:PORT");
    if (arguments.has(Option::Token) && arguments.has(Option::TokenFile))
        return invalid("--token and --token-file are mutually exclusive");
    ConnectionOptions options;
    std::istringstream parts(*arguments.text(Option::Host));
    for (std::string part; std::getline(parts, part, ',');) {
        const auto endpoint = parseEndpoint(part);
        if (!endpoint)
            return invalid("--host: '" + part + "' is not of the form ADDR:PORT");
        options.hosts.push_back(*endpoint);
    }
    if (options.hosts.empty())
        return invalid("--host is required, with at least one ADDR:PORT");
    try {
        options.token = resolveToken(arguments);
    } catch (const Error &error) {
        return error;
    }
    if (!isValidToken(options.token))
        return invalid("a non-empty token of printable ASCII characters is required: --token, "
                       "--token-file or GREENGAGEVALVE_TOKEN");
    return options;
}

} // namespace ggv
