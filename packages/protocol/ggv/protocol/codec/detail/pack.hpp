#pragma once

#include <ggv/state/core/error.hpp>
#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/shared_vector.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/storage/disk.hpp>

#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <msgpack.hpp>

namespace ggv::detail {

using Packer = msgpack::packer<msgpack::sbuffer>;

//! Lists the members of a record in wire order; specialisations define
//! `static constexpr auto List` as a tuple of pointers to members.
template <typename Type>
struct Fields;

//! A struct for which Fields is specialised.
template <typename Type>
concept Record = requires
{
    Fields<Type>::List;
};

[[noreturn]] inline void throwMalformed(const char *expected)
{
    throw Error(ResultCode::ProtocolViolation, std::string("message: expected ") + expected);
}

template <typename Integer>
requires std::integral<Integer> || std::is_enum_v<Integer>
void pack(Packer &packer, Integer value)
{
    if constexpr (std::is_enum_v<Integer>)
        packer.pack(static_cast<std::underlying_type_t<Integer>>(value));
    else
        packer.pack(value);
}

inline void pack(Packer &packer, const std::string &text) { packer.pack(text); }

inline void pack(Packer &packer, const Bytes &bytes)
{
    packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
    packer.pack_bin_body(reinterpret_cast<const char *>(bytes.data()), // NOLINT: msgpack uses char.
                         static_cast<std::uint32_t>(bytes.size()));
}

template <typename Tag>
void pack(Packer &packer, const Name<Tag> &name)
{
    packer.pack(name.text());
}

inline void pack(Packer &packer, Duration duration)
{
    packer.pack(static_cast<std::int64_t>(duration.count()));
}

template <typename Value>
void pack(Packer &packer, const std::optional<Value> &value);
template <typename First, typename Second>
void pack(Packer &packer, const std::pair<First, Second> &value);
template <typename Value>
void pack(Packer &packer, const std::vector<Value> &values);
template <typename Value>
void pack(Packer &packer, const SharedVector<Value> &values);
template <typename... Types>
void pack(Packer &packer, const std::variant<Types...> &value);

template <Record Type>
void pack(Packer &packer, const Type &record)
{
    std::apply(
        [&packer, &record](const auto &...members) {
            packer.pack_array(sizeof...(members));
            (pack(packer, record.*members), ...);
        },
        Fields<Type>::List);
}

template <typename Value>
void pack(Packer &packer, const std::optional<Value> &value)
{
    if (value)
        pack(packer, *value);
    else
        packer.pack_nil();
}

template <typename First, typename Second>
void pack(Packer &packer, const std::pair<First, Second> &value)
{
    packer.pack_array(2);
    pack(packer, value.first);
    pack(packer, value.second);
}

template <typename Value>
void pack(Packer &packer, const std::vector<Value> &values)
{
    packer.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const auto &it : values)
        pack(packer, it);
}

template <typename Value>
void pack(Packer &packer, const SharedVector<Value> &values)
{
    pack(packer, values.items());
}

template <typename... Types>
void pack(Packer &packer, const std::variant<Types...> &value)
{
    packer.pack_array(2);
    packer.pack(static_cast<std::uint8_t>(value.index()));
    std::visit([&packer](const auto &it) { pack(packer, it); }, value);
}

template <std::integral Integer>
void unpack(const msgpack::object &object, Integer &value)
{
    if constexpr (std::same_as<Integer, bool>) {
        if (object.type != msgpack::type::BOOLEAN)
            throwMalformed("a truth value");
        value = object.via.boolean;
    } else {
        if (object.type == msgpack::type::POSITIVE_INTEGER
            && std::in_range<Integer>(object.via.u64))
            value = static_cast<Integer>(object.via.u64);
        else if (object.type == msgpack::type::NEGATIVE_INTEGER
                 && std::in_range<Integer>(object.via.i64))
            value = static_cast<Integer>(object.via.i64);
        else
            throwMalformed("a number in range");
    }
}

template <typename Enum>
requires std::is_enum_v<Enum>
void unpack(const msgpack::object &object, Enum &value)
{
    std::underlying_type_t<Enum> number {};
    unpack(object, number);
    value = static_cast<Enum>(number);
}

inline void unpack(const msgpack::object &object, std::string &text)
{
    if (object.type != msgpack::type::STR)
        throwMalformed("a text");
    text.assign(object.via.str.ptr, object.via.str.size);
}

inline void unpack(const msgpack::object &object, Bytes &bytes)
{
    if (object.type != msgpack::type::BIN)
        throwMalformed("bytes");
    bytes.assign(object.via.bin.ptr, object.via.bin.ptr + object.via.bin.size);
}

template <typename Tag>
void unpack(const msgpack::object &object, Name<Tag> &name)
{
    std::string text;
    unpack(object, text);
    name = Name<Tag>(std::move(text));
}

inline void unpack(const msgpack::object &object, Duration &duration)
{
    std::int64_t count = 0;
    unpack(object, count);
    duration = Duration(count);
}

template <typename Value>
void unpack(const msgpack::object &object, std::optional<Value> &value);
template <typename First, typename Second>
void unpack(const msgpack::object &object, std::pair<First, Second> &value);
template <typename Value>
void unpack(const msgpack::object &object, std::vector<Value> &values);
template <typename Value>
void unpack(const msgpack::object &object, SharedVector<Value> &values);
template <typename... Types>
void unpack(const msgpack::object &object, std::variant<Types...> &value);

inline const msgpack::object_array &expectArray(const msgpack::object &object, std::size_t size)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size != size)
        throwMalformed("a list of the right length");
    return object.via.array;
}

template <Record Type>
void unpack(const msgpack::object &object, Type &record)
{
    std::apply(
        [&object, &record](const auto &...members) {
            const auto &array = expectArray(object, sizeof...(members));
            std::size_t n = 0;
            (unpack(array.ptr[n++], record.*members), ...);
        },
        Fields<Type>::List);
}

template <typename Value>
void unpack(const msgpack::object &object, std::optional<Value> &value)
{
    if (object.type == msgpack::type::NIL)
        value.reset();
    else
        unpack(object, value.emplace());
}

template <typename First, typename Second>
void unpack(const msgpack::object &object, std::pair<First, Second> &value)
{
    const auto &array = expectArray(object, 2);
    unpack(array.ptr[0], value.first);
    unpack(array.ptr[1], value.second);
}

template <typename Value>
void unpack(const msgpack::object &object, std::vector<Value> &values)
{
    if (object.type != msgpack::type::ARRAY)
        throwMalformed("a list");
    values.clear();
    values.resize(object.via.array.size);
    for (std::size_t n = 0; n < values.size(); ++n)
        unpack(object.via.array.ptr[n], values[n]);
}

template <typename Value>
void unpack(const msgpack::object &object, SharedVector<Value> &values)
{
    std::vector<Value> items;
    unpack(object, items);
    values = std::move(items);
}

template <std::size_t Index, typename... Types>
void unpackAlternative(const msgpack::object &object, std::size_t index,
                       std::variant<Types...> &value)
{
    if constexpr (Index < sizeof...(Types)) {
        if (index == Index)
            unpack(object, value.template emplace<Index>());
        else
            unpackAlternative<Index + 1>(object, index, value);
    } else {
        throwMalformed("a known kind of message");
    }
}

template <typename... Types>
void unpack(const msgpack::object &object, std::variant<Types...> &value)
{
    const auto &array = expectArray(object, 2);
    std::uint8_t index = 0;
    unpack(array.ptr[0], index);
    unpackAlternative<0>(array.ptr[1], index, value);
}

//! @return The msgpack encoding of a value.
template <typename Value>
[[nodiscard]] Bytes encodeValue(const Value &value)
{
    msgpack::sbuffer buffer;
    Packer packer(buffer);
    pack(packer, value);
    return Bytes(buffer.data(), buffer.data() + buffer.size());
}

//! Maximum nesting depth of a message.
inline constexpr std::size_t MaxNestingDepth = 32;

/**
 * @brief Decodes a value from msgpack bytes.
 * @throws Error ProtocolViolation if the bytes are not exactly one encoded value of this type.
 */
template <typename Value>
[[nodiscard]] Value decodeValue(ByteView bytes)
{
    // Every element takes at least one byte, so the message size bounds all element counts.
    const std::size_t bound = bytes.size();
    const msgpack::unpack_limit limit(bound, bound, bound, bound, bound, MaxNestingDepth);
    const char *data = reinterpret_cast<const char *>(bytes.data()); // NOLINT: msgpack uses char.
    try {
        std::size_t offset = 0;
        const auto handle = msgpack::unpack(data, bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size())
            throwMalformed("the end of the message");
        Value value {};
        unpack(handle.get(), value);
        return value;
    } catch (const msgpack::unpack_error &error) {
        throw Error(ResultCode::ProtocolViolation, std::string("message: ") + error.what());
    } catch (const std::bad_alloc &) {
        throw Error(ResultCode::ProtocolViolation, "message: too large");
    }
}

} // namespace ggv::detail
