#pragma once

#include <ggv/ctl/arguments.hpp>
#include <ggv/state/model/entities.hpp>

#include <string>
#include <vector>

namespace ggv {

//! Which hosts to ask, and as whom.
struct Access
{
    std::vector<Endpoint> hosts; //!< Operators' addresses, tried in turn.
    std::string token;

    /**
     * @brief Reads --host, --token, --token-file and the environment's GREENGAGEVALVE_TOKEN.
     * @param arguments The command line.
     * @return The access, or SettingsInvalid.
     */
    [[nodiscard]] static Result<Access> fromArguments(const Arguments &arguments);
};

} // namespace ggv
