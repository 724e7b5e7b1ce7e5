#pragma once

#include <ggv/state/core/result_code.hpp>
#include <ggv/state/request/request_state_machine.hpp>
#include <ggv/transport/http/http_types.hpp>

#include <string>

namespace ggv {

/**
 * @brief Makes an answer of the system itself.
 * @param answer Status, numbered result, verdict and when to come back.
 * @param message A sentence for people.
 * @return The answer with a JSON body.
 */
[[nodiscard]] HttpAnswer systemAnswer(const FinalAnswer &answer, const std::string &message);

//! @return Answer to a request that could not be read.
[[nodiscard]] HttpAnswer faultAnswer(ResultCode code, const std::string &message);

} // namespace ggv
