#include <ggv/state/core/error.hpp>
#include <ggv/state/storage/disk.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstddef>
#include <map>
#include <system_error>
#include <utility>

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace ggv {

namespace {

constexpr std::string_view LockName = ".lock";
constexpr std::string_view TemporarySuffix = ".tmp";
constexpr mode_t FolderMode = 0700;
constexpr mode_t FileMode = 0600;
constexpr std::size_t ReadChunkBytes = std::size_t { 64 } * 1024;

[[noreturn]] void throwIo(const std::string &action, const std::string &name)
{
    const std::string reason = std::generic_category().message(errno);
    throw Error(ResultCode::StorageIo, action + " " + name + ": " + reason);
}

// Writes that find no room leave the files as they were, apart from a partly written end.
[[noreturn]] void throwWriteFailed(const std::string &name)
{
    if (errno != ENOSPC && errno != EDQUOT)
        throwIo("write", name);
    const std::string reason = std::generic_category().message(errno);
    throw Error(ResultCode::StorageFull, "write " + name + ": " + reason);
}

// Owning file descriptor.
class FileDescriptor
{
public:
    explicit FileDescriptor(int number) noexcept
        : m_number(number)
    { }
    FileDescriptor(FileDescriptor &&other) noexcept
        : m_number(std::exchange(other.m_number, -1))
    { }
    FileDescriptor &operator=(FileDescriptor &&) = delete;
    ~FileDescriptor()
    {
        if (valid())
            ::close(m_number);
    }

    [[nodiscard]] int number() const noexcept { return m_number; }
    [[nodiscard]] bool valid() const noexcept { return m_number >= 0; }

private:
    int m_number;
};

bool endsWith(std::string_view text, std::string_view suffix) noexcept
{
    return text.size() >= suffix.size() && text.substr(text.size() - suffix.size()) == suffix;
}

class PosixDisk : public Disk
{
public:
    explicit PosixDisk(std::string folder)
        : m_folderName(std::move(folder))
        , m_folder(openFolder(m_folderName))
        , m_lock(lockFolder())
    {
        removeTemporaries();
    }

    std::optional<Bytes> read(std::string_view name) override
    {
        return guarded([&] { return readFile(std::string(name)); });
    }

    void append(std::string_view name, ByteView bytes) override
    {
        guarded([&] { write(openForAppend(std::string(name)), bytes, std::string(name)); });
    }

    void truncate(std::string_view name, std::uint64_t size) override
    {
        guarded([&] {
            if (::ftruncate(openForAppend(std::string(name)), static_cast<off_t>(size)) != 0)
                throwIo("truncate", std::string(name));
        });
    }

    void sync(std::string_view name) override
    {
        guarded([&] { syncFile(openForAppend(std::string(name)), std::string(name)); });
    }

    void replace(std::string_view name, ByteView bytes) override
    {
        guarded([&] { replaceFile(std::string(name), bytes); });
    }

    void remove(std::string_view name) override
    {
        guarded([&] { removeFile(std::string(name)); });
    }

    std::vector<std::string> list() override
    {
        return guarded([&] { return listFiles(); });
    }

private:
    // Runs an operation. After a failure other than a full disk the content of the page cache is
    // unknown, so all later calls fail too.
    template <typename Action>
    auto guarded(Action action) -> decltype(action())
    {
        if (m_failed)
            throw Error(ResultCode::StorageIo,
                        "data folder is unusable after an earlier I/O failure: " + m_folderName);
        try {
            return action();
        } catch (const Error &error) {
            m_failed = error.code() != ResultCode::StorageFull;
            throw;
        } catch (...) {
            m_failed = true;
            throw;
        }
    }

    static FileDescriptor openFolder(const std::string &folder)
    {
        createFolders(folder);
        FileDescriptor descriptor(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        if (!descriptor.valid())
            throwIo("open", folder);
        return descriptor;
    }

    static void createFolders(const std::string &folder)
    {
        for (auto end = folder.find('/', 1);; end = folder.find('/', end + 1)) {
            const std::string part = folder.substr(0, end);
            if (::mkdir(part.c_str(), FolderMode) == 0)
                syncParent(part);
            else if (errno != EEXIST && end == std::string::npos)
                throwIo("create", part);
            if (end == std::string::npos)
                return;
        }
    }

    static void syncParent(const std::string &folder)
    {
        const auto slash = folder.find_last_of('/');
        const std::string parent = slash == std::string::npos ? "." : folder.substr(0, slash + 1);
        const FileDescriptor descriptor(::open(parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        if (!descriptor.valid())
            throwIo("open", parent);
        syncFile(descriptor.number(), parent);
    }

    FileDescriptor lockFolder() const
    {
        FileDescriptor descriptor = openAt(std::string(LockName), O_RDWR | O_CREAT);
        if (::flock(descriptor.number(), LOCK_EX | LOCK_NB) != 0)
            throwIo("lock", m_folderName);
        return descriptor;
    }

    FileDescriptor openAt(const std::string &name, int flags) const
    {
        FileDescriptor descriptor(
            ::openat(m_folder.number(), name.c_str(), flags | O_CLOEXEC, FileMode));
        if (!descriptor.valid() && errno != ENOENT)
            throwWriteFailed(name);
        return descriptor;
    }

    static void syncFile(int descriptor, const std::string &name)
    {
        if (::fsync(descriptor) != 0)
            throwIo("sync", name);
    }

    void syncFolder() const { syncFile(m_folder.number(), m_folderName); }

    static void write(int descriptor, ByteView bytes, const std::string &name)
    {
        while (!bytes.empty()) {
            const auto n = ::write(descriptor, bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR)
                continue;
            if (n <= 0)
                throwWriteFailed(name);
            bytes = bytes.subspan(static_cast<std::size_t>(n));
        }
    }

    // Returns the descriptor for appending to a file, which stays open; syncs the folder when a new
    // file is created.
    int openForAppend(const std::string &name)
    {
        if (const auto it = m_open.find(name); it != m_open.end())
            return it->second.number();
        FileDescriptor descriptor = openAt(name, O_WRONLY | O_APPEND);
        if (!descriptor.valid())
            return createForAppend(name);
        return m_open.emplace(name, std::move(descriptor)).first->second.number();
    }

    int createForAppend(const std::string &name)
    {
        FileDescriptor descriptor = openAt(name, O_WRONLY | O_APPEND | O_CREAT);
        syncFolder();
        return m_open.emplace(name, std::move(descriptor)).first->second.number();
    }

    std::optional<Bytes> readFile(const std::string &name) const
    {
        const FileDescriptor descriptor = openAt(name, O_RDONLY);
        if (!descriptor.valid())
            return std::nullopt;
        Bytes bytes;
        std::array<std::uint8_t, ReadChunkBytes> buf;
        for (;;) {
            const auto n = ::read(descriptor.number(), buf.data(), buf.size());
            if (n < 0 && errno == EINTR)
                continue;
            if (n < 0)
                throwIo("read", name);
            if (n == 0)
                return bytes;
            bytes.insert(bytes.end(), buf.begin(), buf.begin() + n);
        }
    }

    void replaceFile(const std::string &name, ByteView bytes)
    {
        const std::string temporary = name + std::string(TemporarySuffix);
        {
            const FileDescriptor descriptor = openAt(temporary, O_WRONLY | O_CREAT | O_TRUNC);
            write(descriptor.number(), bytes, temporary);
            syncFile(descriptor.number(), temporary);
        }
        if (::renameat(m_folder.number(), temporary.c_str(), m_folder.number(), name.c_str()) != 0)
            throwIo("rename", temporary);
        m_open.erase(name);
        syncFolder();
    }

    void removeFile(const std::string &name)
    {
        m_open.erase(name);
        if (::unlinkat(m_folder.number(), name.c_str(), 0) == 0)
            syncFolder();
        else if (errno != ENOENT)
            throwIo("remove", name);
    }

    std::vector<std::string> allNames() const
    {
        const std::unique_ptr<DIR, int (*)(DIR *)> folder(::opendir(m_folderName.c_str()),
                                                          &::closedir);
        if (!folder)
            throwIo("list", m_folderName);
        std::vector<std::string> names;
        while (const dirent *it = ::readdir(folder.get()))
            names.emplace_back(it->d_name);
        std::sort(names.begin(), names.end());
        return names;
    }

    std::vector<std::string> listFiles() const
    {
        std::vector<std::string> names = allNames();
        std::erase_if(names, [](const std::string &name) { return name.front() == '.'; });
        return names;
    }

    void removeTemporaries()
    {
        for (const std::string &name : listFiles()) {
            if (endsWith(name, TemporarySuffix))
                removeFile(name);
        }
    }

    std::string m_folderName;
    FileDescriptor m_folder;
    FileDescriptor m_lock;
    std::map<std::string, FileDescriptor> m_open;
    bool m_failed = false;
};

} // namespace

std::unique_ptr<Disk> openPosixDisk(const std::string &folder)
{
    return std::make_unique<PosixDisk>(folder);
}

} // namespace ggv
