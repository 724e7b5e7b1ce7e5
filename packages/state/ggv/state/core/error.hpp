#pragma once

#include <ggv/state/core/result_code.hpp>

#include <stdexcept>
#include <string>

namespace ggv {

//! Exception type of the system: a result code and a human-readable message.
class Error : public std::runtime_error
{
public:
    /**
     * @brief Creates an error.
     * @param code The result code.
     * @param message Short message for logs and responses.
     */
    Error(ResultCode code, const std::string &message)
        : std::runtime_error(message)
        , m_code(code)
    { }

    //! @return The result code.
    [[nodiscard]] ResultCode code() const noexcept { return m_code; }

private:
    ResultCode m_code;
};

} // namespace ggv
