#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace ggv {

//! Bytes as stored or sent.
using Bytes = std::vector<std::uint8_t>;

//! View of bytes owned by somebody else.
using ByteView = std::span<const std::uint8_t>;

/**
 * @brief The data folder as the storage layer needs it; tests replace it by a fake that loses
 * unsynced writes, tears and fails.
 *
 * Names are plain file names without a path. Every function throws Error StorageIo.
 */
class Disk
{
public:
    virtual ~Disk() = default;

    //! @return Whole file, or nothing if there is no such file.
    [[nodiscard]] virtual std::optional<Bytes> read(std::string_view name) = 0;
    //! Adds bytes at the end; creates the file if needed. Not durable until sync().
    virtual void append(std::string_view name, ByteView bytes) = 0;
    //! Cuts a file to a length in bytes. Not durable until sync().
    virtual void truncate(std::string_view name, std::uint64_t size) = 0;
    //! Makes a file's content durable. A failure is final: the process must not go on.
    virtual void sync(std::string_view name) = 0;
    //! Replaces a file whole, durably and atomically: old or new content after a crash.
    virtual void replace(std::string_view name, ByteView bytes) = 0;
    //! Removes a file durably; no error if there is none.
    virtual void remove(std::string_view name) = 0;
    //! @return Names of all files, sorted.
    [[nodiscard]] virtual std::vector<std::string> list() = 0;
};

/**
 * @brief Opens a data folder.
 * @param folder Path; created if it does not exist.
 * @return The disk.
 * @throws Error StorageIo if the folder cannot be used or another process holds it.
 */
[[nodiscard]] std::unique_ptr<Disk> openPosixDisk(const std::string &folder);

} // namespace ggv
