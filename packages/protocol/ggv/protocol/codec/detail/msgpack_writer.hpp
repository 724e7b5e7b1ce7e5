#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/storage/disk.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include <msgpack.hpp>

namespace ggv::detail {

//! Output buffer of a msgpack packer.
class ByteSink
{
public:
    void write(const char *data, std::size_t size)
    {
        const auto *first = reinterpret_cast<const std::uint8_t *>(data);
        m_bytes.insert(m_bytes.end(), first, first + size);
    }

    //! @return The bytes; leaves the sink empty.
    [[nodiscard]] Bytes take() noexcept { return std::move(m_bytes); }

private:
    Bytes m_bytes;
};

/**
 * @brief Writes values as msgpack; a structure is an array of its fields.
 *
 * A structure is written by a free function `void put(MsgpackWriter &, const Structure &)` found
 * by argument-dependent look-up or declared before its use. Private to codecs: this header pulls
 * in msgpack.
 */
class MsgpackWriter
{
public:
    MsgpackWriter()
        : m_packer(m_sink)
    { }
    MsgpackWriter(const MsgpackWriter &) = delete;
    MsgpackWriter &operator=(const MsgpackWriter &) = delete;

    //! @return Everything that was written.
    [[nodiscard]] Bytes take() noexcept { return m_sink.take(); }

    //! Begins an array; exactly size values follow.
    void beginArray(std::size_t size) { m_packer.pack_array(static_cast<std::uint32_t>(size)); }

    /**
     * @brief Writes a structure as the array of its fields.
     * @param values The fields in order.
     */
    template <typename... Values>
    void fields(const Values &...values)
    {
        beginArray(sizeof...(Values));
        (value(values), ...);
    }

    void value(bool flag) { flag ? m_packer.pack_true() : m_packer.pack_false(); }
    void value(const std::string &text)
    {
        m_packer.pack_str(static_cast<std::uint32_t>(text.size()));
        m_packer.pack_str_body(text.data(), static_cast<std::uint32_t>(text.size()));
    }
    void value(const Bytes &bytes)
    {
        m_packer.pack_bin(static_cast<std::uint32_t>(bytes.size()));
        const auto *data = reinterpret_cast<const char *>(bytes.data());
        m_packer.pack_bin_body(data, static_cast<std::uint32_t>(bytes.size()));
    }
    void value(Duration duration) { m_packer.pack(duration.count()); }

    template <typename Tag>
    void value(const Name<Tag> &name)
    {
        value(name.text());
    }

    template <typename Value>
    void value(const std::vector<Value> &list)
    {
        beginArray(list.size());
        for (const Value &it : list)
            value(it);
    }

    template <typename Value>
    void value(const std::optional<Value> &optional)
    {
        if (optional)
            value(*optional);
        else
            m_packer.pack_nil();
    }

    template <typename Value>
    void value(const Value &other)
    {
        if constexpr (std::is_enum_v<Value>)
            m_packer.pack(static_cast<std::underlying_type_t<Value>>(other));
        else if constexpr (std::is_arithmetic_v<Value>)
            m_packer.pack(other);
        else
            put(*this, other);
    }

private:
    ByteSink m_sink;
    msgpack::packer<ByteSink> m_packer;
};

} // namespace ggv::detail
