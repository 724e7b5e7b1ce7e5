#pragma once

#include <ggv/state/core/result_code.hpp>

#include <stdexcept>
#include <string>

namespace ggv {

//! The exception of the system: a numbered result code and a sentence for people.
class Error : public std::runtime_error
{
public:
    /**
     * @brief Creates an error.
     * @param code The numbered result.
     * @param message A short sentence for logs and answers.
     */
    Error(ResultCode code, const std::string &message)
        : std::runtime_error(message)
        , m_code(code)
    { }

    //! @return The numbered result.
    [[nodiscard]] ResultCode code() const noexcept { return m_code; }

private:
    ResultCode m_code;
};

} // namespace ggv
