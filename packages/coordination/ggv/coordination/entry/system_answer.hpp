#pragma once

#include <ggv/state/core/result_code.hpp>
#include <ggv/state/request/request_state_machine.hpp>
#include <ggv/transport/http/http_types.hpp>

#include <string>

namespace ggv {

/**
 * @brief Builds a response that the entry host itself generates.
 * @param answer Status, result code, verdict and retry delay.
 * @param message Human-readable explanation.
 * @return The response, with a JSON body.
 */
[[nodiscard]] HttpAnswer systemAnswer(const FinalAnswer &answer, const std::string &message);

//! @return Response to a request that fails before it is forwarded, such as a malformed one.
[[nodiscard]] HttpAnswer faultAnswer(ResultCode code, const std::string &message);

} // namespace ggv
