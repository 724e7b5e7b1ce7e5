#pragma once

#include <ggv/state/core/error.hpp>
#include <ggv/state/storage/disk.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace ggv::test {

/**
 * @brief In-memory disk that simulates crashes and write failures.
 *
 * crash() retains an arbitrary, possibly torn part of the unsynced bytes of each file. limit()
 * makes writes fail after a given number of them, so that a crash can be simulated at every step.
 */
class FakeDisk : public Disk
{
public:
    //! Which unsynced bytes a crash loses.
    enum class Loss { Everything, Random };

    std::optional<Bytes> read(std::string_view name) override
    {
        const auto it = m_files.find(std::string(name));
        return it == m_files.end() ? std::nullopt : std::optional(it->second.written);
    }

    void append(std::string_view name, ByteView bytes) override
    {
        countWrite();
        Bytes &written = m_files[std::string(name)].written;
        const auto fitting
            = static_cast<std::ptrdiff_t>(m_isFull ? bytes.size() / 2 : bytes.size());
        written.insert(written.end(), bytes.begin(), bytes.begin() + fitting);
        requireSpace();
    }

    void truncate(std::string_view name, std::uint64_t size) override
    {
        countWrite();
        m_files[std::string(name)].written.resize(size);
    }

    void sync(std::string_view name) override
    {
        countWrite();
        ++m_syncs;
        ++m_waits;
        File &file = m_files[std::string(name)];
        file.durable = file.written;
    }

    void replace(std::string_view name, ByteView bytes) override
    {
        countWrite();
        requireSpace();
        m_waits += 2; // The file and its folder.
        const Bytes content(bytes.begin(), bytes.end());
        m_files[std::string(name)] = { content, content };
    }

    void remove(std::string_view name) override
    {
        countWrite();
        ++m_waits;
        m_files.erase(std::string(name));
    }

    std::vector<std::string> list() override
    {
        std::vector<std::string> names;
        for (const auto &[name, file] : m_files)
            names.push_back(name);
        return names;
    }

    //! Simulates a crash. @param random Determines how many of the unsynced bytes survive.
    void crash(std::mt19937_64 &random, Loss loss = Loss::Random)
    {
        for (auto &[name, file] : m_files) {
            if (loss == Loss::Random)
                retainUnsyncedPart(file, random);
            file.written = file.durable;
        }
        m_writesLeft.reset();
    }

    //! Makes all writes fail after the given number of further writes.
    void limit(std::uint64_t writes) { m_writesLeft = writes; }
    //! Makes appends write only a part and replacements nothing, for lack of space.
    void setFull(bool isFull) { m_isFull = isFull; }
    //! Flips one bit of a file, durably.
    void flipBit(const std::string &name, std::size_t byte, unsigned bit)
    {
        File &file = m_files.at(name);
        file.written.at(byte) = static_cast<std::uint8_t>(file.written.at(byte) ^ (1U << bit));
        file.durable = file.written;
    }

    [[nodiscard]] std::uint64_t syncs() const noexcept { return m_syncs; }
    //! @return How often the process has waited for the disk, for files and folders.
    [[nodiscard]] std::uint64_t waits() const noexcept { return m_waits; }
    [[nodiscard]] std::size_t size(const std::string &name) const
    {
        return m_files.at(name).written.size();
    }

private:
    struct File
    {
        Bytes written;
        Bytes durable;
    };

    void countWrite()
    {
        if (m_writesLeft && *m_writesLeft == 0)
            throw Error(ResultCode::StorageIo, "simulated write failure");
        if (m_writesLeft)
            --*m_writesLeft;
    }

    void requireSpace() const
    {
        if (m_isFull)
            throw Error(ResultCode::StorageFull, "no space left on the simulated disk");
    }

    // After a truncation, either the old or the new size survives. After an append, a prefix of the
    // new bytes survives, whose last bytes may be corrupted.
    static void retainUnsyncedPart(File &file, std::mt19937_64 &random)
    {
        if (file.written.size() < file.durable.size()) {
            if (random() % 2 == 0)
                file.durable = file.written;
            return;
        }
        const std::size_t added = file.written.size() - file.durable.size();
        const std::size_t retained = random() % (added + 1);
        const std::size_t before = file.durable.size();
        file.durable.assign(file.written.begin(),
                            file.written.begin() + static_cast<std::ptrdiff_t>(before + retained));
        const std::size_t torn = retained == 0 ? 0 : random() % std::min<std::size_t>(retained, 64);
        for (std::size_t i = file.durable.size() - torn; i < file.durable.size(); ++i)
            file.durable[i] = static_cast<std::uint8_t>(random());
    }

    std::map<std::string, File> m_files;
    std::optional<std::uint64_t> m_writesLeft;
    bool m_isFull = false;
    std::uint64_t m_syncs = 0;
    std::uint64_t m_waits = 0;
};

} // namespace ggv::test
