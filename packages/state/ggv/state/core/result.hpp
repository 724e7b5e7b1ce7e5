#pragma once

#include <ggv/state/core/error.hpp>

#include <utility>
#include <variant>

namespace ggv {

/**
 * @brief Return type of static factory functions: the created object, or the error.
 * @tparam Value Type of the object.
 */
template <typename Value>
class [[nodiscard]] Result
{
public:
    Result(Value value) // NOLINT(google-explicit-constructor)
        : m_state(std::move(value))
    { }

    Result(Error error) // NOLINT(google-explicit-constructor)
        : m_state(std::move(error))
    { }

    //! @return True if it contains a value.
    [[nodiscard]] explicit operator bool() const noexcept
    {
        return std::holds_alternative<Value>(m_state);
    }

    /**
     * @brief Returns the value.
     * @throws Error if it contains an error.
     */
    [[nodiscard]] Value &value() &
    {
        throwOnError();
        return std::get<Value>(m_state);
    }

    //! @copydoc value()
    [[nodiscard]] const Value &value() const &
    {
        throwOnError();
        return std::get<Value>(m_state);
    }

    //! @copydoc value()
    [[nodiscard]] Value value() &&
    {
        throwOnError();
        return std::get<Value>(std::move(m_state));
    }

    //! @return The error; requires that it contains no value.
    [[nodiscard]] const Error &error() const { return std::get<Error>(m_state); }

private:
    void throwOnError() const
    {
        if (const auto *failure = std::get_if<Error>(&m_state))
            throw *failure;
    }

    std::variant<Value, Error> m_state;
};

} // namespace ggv
