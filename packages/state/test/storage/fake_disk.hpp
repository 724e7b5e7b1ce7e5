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
 * @brief A disk in memory that loses what was not synced.
 *
 * crash() keeps any part of the unsynced bytes of each file, which may be torn; limit() makes the
 * call after a number of writing calls fail, so that a crash can be placed at every step.
 */
class FakeDisk : public Disk
{
public:
    //! What the disk forgets at a crash.
    enum class Loss { Everything, Random };

    std::optional<Bytes> read(std::string_view name) override
    {
        const auto it = m_files.find(std::string(name));
        return it == m_files.end() ? std::nullopt : std::optional(it->second.written);
    }

    void append(std::string_view name, ByteView bytes) override
    {
        step();
        Bytes &written = m_files[std::string(name)].written;
        written.insert(written.end(), bytes.begin(), bytes.end());
    }

    void truncate(std::string_view name, std::uint64_t size) override
    {
        step();
        m_files[std::string(name)].written.resize(size);
    }

    void sync(std::string_view name) override
    {
        step();
        ++m_syncs;
        File &file = m_files[std::string(name)];
        file.durable = file.written;
    }

    void replace(std::string_view name, ByteView bytes) override
    {
        step();
        const Bytes content(bytes.begin(), bytes.end());
        m_files[std::string(name)] = { content, content };
    }

    void remove(std::string_view name) override
    {
        step();
        m_files.erase(std::string(name));
    }

    std::vector<std::string> list() override
    {
        std::vector<std::string> names;
        for (const auto &[name, file] : m_files)
            names.push_back(name);
        return names;
    }

    //! Forgets what was not synced; @param random Decides how much of it survives.
    void crash(std::mt19937_64 &random, Loss loss = Loss::Random)
    {
        for (auto &[name, file] : m_files) {
            if (loss == Loss::Random)
                keepSome(file, random);
            file.written = file.durable;
        }
        m_stepsLeft.reset();
    }

    //! Lets a number of writing calls succeed and fails from then on.
    void limit(std::uint64_t steps) { m_stepsLeft = steps; }
    //! Flips one bit of a file.
    void flipBit(const std::string &name, std::size_t byte, unsigned bit)
    {
        File &file = m_files.at(name);
        file.written.at(byte) = static_cast<std::uint8_t>(file.written.at(byte) ^ (1U << bit));
        file.durable = file.written;
    }

    [[nodiscard]] std::uint64_t syncs() const noexcept { return m_syncs; }
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

    void step()
    {
        if (m_stepsLeft && *m_stepsLeft == 0)
            throw Error(ResultCode::StorageIo, "no more writes");
        if (m_stepsLeft)
            --*m_stepsLeft;
    }

    // Either the old size survives or a part of the new bytes, the last of which may be garbage.
    static void keepSome(File &file, std::mt19937_64 &random)
    {
        if (file.written.size() < file.durable.size()) {
            if (random() % 2 == 0)
                file.durable = file.written;
            return;
        }
        const std::size_t added = file.written.size() - file.durable.size();
        const std::size_t kept = random() % (added + 1);
        const std::size_t before = file.durable.size();
        file.durable.assign(file.written.begin(),
                            file.written.begin() + static_cast<std::ptrdiff_t>(before + kept));
        const std::size_t torn = kept == 0 ? 0 : random() % std::min<std::size_t>(kept, 64);
        for (std::size_t i = file.durable.size() - torn; i < file.durable.size(); ++i)
            file.durable[i] = static_cast<std::uint8_t>(random());
    }

    std::map<std::string, File> m_files;
    std::optional<std::uint64_t> m_stepsLeft;
    std::uint64_t m_syncs = 0;
};

} // namespace ggv::test
