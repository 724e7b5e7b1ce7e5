#pragma once

#include <ggv/state/model/entities.hpp>

#include <string>

namespace ggv {

//! @return Address and port joined by a colon, for example "10.0.0.1:8080".
[[nodiscard]] inline std::string endpointText(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace ggv
