#pragma once

#include <ggv/state/core/error.hpp>
#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/storage/disk.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <vector>

#include <msgpack.hpp>

namespace ggv::detail {

//! Reports bytes that are not what the codec expects.
[[noreturn]] inline void throwViolation(const char *what)
{
    throw Error(ResultCode::ProtocolViolation, std::string("malformed message: ") + what);
}

/**
 * @brief Reads values that MsgpackWriter wrote; every function throws Error ProtocolViolation.
 *
 * A structure is read by a free function `void get(const MsgpackReader &, Structure &)` found by
 * argument-dependent look-up or declared before its use. Private to codecs: this header pulls in
 * msgpack.
 */
class MsgpackReader
{
public:
    //! @param object A value; outlives the reader.
    explicit MsgpackReader(const msgpack::object &object) noexcept
        : m_object(object)
    { }

    //! @return Number of values of an array.
    [[nodiscard]] std::size_t size() const
    {
        require(m_object.type == msgpack::type::ARRAY, "array expected");
        return m_object.via.array.size;
    }

    //! @return A value of an array.
    [[nodiscard]] MsgpackReader operator[](std::size_t position) const
    {
        require(position < size(), "array too short");
        return MsgpackReader(m_object.via.array.ptr[position]);
    }

    //! @return The value as a type that has a get() or is built in.
    template <typename Value>
    [[nodiscard]] Value as() const
    {
        Value value {};
        read(value);
        return value;
    }

    /**
     * @brief Reads a structure from the array of its fields.
     * @param values Receive the fields in order.
     */
    template <typename... Values>
    void fields(Values &...values) const
    {
        require(size() == sizeof...(Values), "wrong number of fields");
        std::size_t position = 0;
        ((*this)[position++].read(values), ...);
    }

    void read(bool &flag) const
    {
        require(m_object.type == msgpack::type::BOOLEAN, "boolean expected");
        flag = m_object.via.boolean;
    }

    void read(std::string &text) const
    {
        require(m_object.type == msgpack::type::STR, "string expected");
        text.assign(m_object.via.str.ptr, m_object.via.str.size);
    }

    void read(Bytes &bytes) const
    {
        require(m_object.type == msgpack::type::BIN, "bytes expected");
        const auto *first = reinterpret_cast<const std::uint8_t *>(m_object.via.bin.ptr);
        bytes.assign(first, first + m_object.via.bin.size);
    }

    void read(Duration &duration) const { duration = Duration(as<Duration::rep>()); }

    template <typename Tag>
    void read(Name<Tag> &name) const
    {
        name = Name<Tag>(as<std::string>());
    }

    template <typename Value>
    void read(std::vector<Value> &list) const
    {
        list.clear();
        list.reserve(size());
        for (std::size_t i = 0; i < size(); ++i)
            list.push_back((*this)[i].template as<Value>());
    }

    template <typename Value>
    void read(std::optional<Value> &optional) const
    {
        optional.reset();
        if (m_object.type != msgpack::type::NIL)
            optional = as<Value>();
    }

    template <typename Value>
    void read(Value &value) const
    {
        if constexpr (std::is_enum_v<Value>)
            value = static_cast<Value>(as<std::underlying_type_t<Value>>());
        else if constexpr (std::is_floating_point_v<Value>)
            value = readFloat<Value>();
        else if constexpr (std::is_unsigned_v<Value>)
            value = readUnsigned<Value>();
        else if constexpr (std::is_integral_v<Value>)
            value = readSigned<Value>();
        else
            get(*this, value);
    }

private:
    static void require(bool condition, const char *what)
    {
        if (!condition)
            throwViolation(what);
    }

    template <typename Value>
    [[nodiscard]] Value readUnsigned() const
    {
        require(m_object.type == msgpack::type::POSITIVE_INTEGER, "positive integer expected");
        require(m_object.via.u64 <= std::numeric_limits<Value>::max(), "integer out of range");
        return static_cast<Value>(m_object.via.u64);
    }

    template <typename Value>
    [[nodiscard]] Value readSigned() const
    {
        using Limits = std::numeric_limits<Value>;
        if (m_object.type == msgpack::type::POSITIVE_INTEGER) {
            const auto greatest = static_cast<std::uint64_t>(Limits::max());
            require(m_object.via.u64 <= greatest, "integer out of range");
            return static_cast<Value>(m_object.via.u64);
        }
        require(m_object.type == msgpack::type::NEGATIVE_INTEGER, "integer expected");
        require(m_object.via.i64 >= Limits::min(), "integer out of range");
        return static_cast<Value>(m_object.via.i64);
    }

    template <typename Value>
    [[nodiscard]] Value readFloat() const
    {
        const bool isFloat
            = m_object.type == msgpack::type::FLOAT32 || m_object.type == msgpack::type::FLOAT64;
        require(isFloat, "floating-point number expected");
        return static_cast<Value>(m_object.via.f64);
    }

    const msgpack::object &m_object;
};

/**
 * @brief Decodes one value that fills all of the bytes.
 * @tparam Value Type that MsgpackReader can read.
 * @param bytes msgpack bytes.
 * @return The value.
 * @throws Error ProtocolViolation if the bytes are anything else.
 */
template <typename Value>
[[nodiscard]] Value decodeAll(ByteView bytes)
{
    // No array can have more values than there are bytes, which bounds what is allocated.
    constexpr std::size_t MaxDepth = 16;
    const std::size_t most = bytes.size();
    const msgpack::unpack_limit limit(most, 0, most, most, 0, MaxDepth);
    try {
        std::size_t offset = 0;
        const auto *data = reinterpret_cast<const char *>(bytes.data());
        const msgpack::object_handle handle
            = msgpack::unpack(data, bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size())
            throwViolation("trailing bytes");
        return MsgpackReader(handle.get()).as<Value>();
    } catch (const msgpack::unpack_error &error) {
        throwViolation(error.what());
    } catch (const std::bad_alloc &) {
        throwViolation("too large");
    }
}

} // namespace ggv::detail
