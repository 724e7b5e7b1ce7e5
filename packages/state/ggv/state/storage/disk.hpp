#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ggv {

//! Byte buffer.
using Bytes = std::vector<std::uint8_t>;

//! Non-owning view of bytes.
using ByteView = std::span<const std::uint8_t>;

/**
 * @brief Access to the files of the data folder.
 *
 * An interface, so that tests can use a fake that loses unsynced writes, tears records and fails.
 * Names are file names without a path. All functions throw Error StorageIo on failure, or
 * StorageFull if there is no room for a write; the file then ends with a part of the bytes.
 */
class Disk
{
public:
    virtual ~Disk() = default;

    //! @return Content of the file; std::nullopt if it does not exist.
    [[nodiscard]] virtual std::optional<Bytes> read(std::string_view name) = 0;
    //! Appends bytes, creating the file if needed; not durable until sync().
    virtual void append(std::string_view name, ByteView bytes) = 0;
    //! Truncates a file to a size in bytes; not durable until sync().
    virtual void truncate(std::string_view name, std::uint64_t size) = 0;
    //! Makes the content of a file durable. After a failure the process must terminate.
    virtual void sync(std::string_view name) = 0;
    //! Replaces a file atomically and durably; a crash leaves either the old or the new content.
    virtual void replace(std::string_view name, ByteView bytes) = 0;
    //! Removes a file durably; does nothing if it does not exist.
    virtual void remove(std::string_view name) = 0;
    //! @return Names of all files in ascending order.
    [[nodiscard]] virtual std::vector<std::string> list() = 0;
};

/**
 * @brief Opens a data folder.
 * @param folder Path of the folder; created if it does not exist.
 * @throws Error StorageIo if the folder cannot be accessed or is locked by another process.
 */
[[nodiscard]] std::unique_ptr<Disk> openPosixDisk(const std::string &folder);

} // namespace ggv
