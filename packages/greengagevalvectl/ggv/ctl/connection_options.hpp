#pragma once

#include <ggv/ctl/arguments.hpp>
#include <ggv/state/model/entities.hpp>

#include <string>
#include <vector>

namespace ggv {

//! Hosts and credentials for the operators' API.
struct ConnectionOptions
{
    std::vector<Endpoint> hosts; //!< Addresses of the operators' API, tried in order.
    std::string token; //!< Bearer token.

    /**
     * @brief Reads --host, --token, --token-file and the environment variable
     * GREENGAGEVALVE_TOKEN.
     * @param arguments The command line.
     * @return The options, or SettingsInvalid if one is missing or malformed.
     */
    [[nodiscard]] static Result<ConnectionOptions> fromArguments(const Arguments &arguments);
};

} // namespace ggv
