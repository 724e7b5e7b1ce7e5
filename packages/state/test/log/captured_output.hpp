#pragma once

#include <ggv/state/log/logged_event.hpp>

#include <array>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

#include <unistd.h>

namespace ggv::test {

//! Redirects standard output to a file during its lifetime, to read back the logged lines.
class CapturedOutput
{
public:
    CapturedOutput()
        : m_file(std::tmpfile())
        , m_saved(::dup(STDOUT_FILENO))
    {
        std::fflush(stdout);
        ::dup2(::fileno(m_file), STDOUT_FILENO);
    }
    ~CapturedOutput()
    {
        std::fflush(stdout);
        ::dup2(m_saved, STDOUT_FILENO);
        ::close(m_saved);
        std::fclose(m_file);
    }
    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;

    //! @return All output written so far.
    [[nodiscard]] std::string text() const
    {
        std::fflush(stdout);
        std::string all;
        std::array<char, 4096> chunk;
        off_t at = 0;
        for (ssize_t n = 1; n > 0; at += n) {
            n = ::pread(::fileno(m_file), chunk.data(), chunk.size(), at);
            if (n > 0)
                all.append(chunk.data(), static_cast<std::size_t>(n));
        }
        return all;
    }

    //! @return All events logged so far.
    [[nodiscard]] std::vector<LoggedEvent> events() const
    {
        std::vector<LoggedEvent> found;
        const std::string all = text();
        std::size_t begin = 0;
        while (begin < all.size()) {
            const std::size_t end = all.find('\n', begin);
            const auto line = std::string_view(all).substr(begin, end - begin);
            if (const auto event = LoggedEvent::parse(line))
                found.push_back(*event);
            begin = end == std::string::npos ? all.size() : end + 1;
        }
        return found;
    }

private:
    std::FILE *m_file;
    int m_saved;
};

} // namespace ggv::test
