#pragma once

#include <ggv/state/core/error.hpp>

#include <utility>
#include <variant>

namespace ggv {

/**
 * @brief What a static factory function returns: the object, or the error that prevented it.
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

    //! @return True if there is a value.
    [[nodiscard]] explicit operator bool() const noexcept
    {
        return std::holds_alternative<Value>(m_state);
    }

    /**
     * @brief Takes the value.
     * @return The value.
     * @throws Error if there is none.
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

    //! @return The error; only when there is no value.
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
