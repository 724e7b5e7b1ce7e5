#pragma once

#include <net/raw_socket.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

namespace ggv::test {

//! Sends a text and then a pattern again and again, on a thread of its own, until the peer closes
//! the connection or the limit is reached.
class EndlessSender
{
public:
    EndlessSender(RawSocket socket, std::string start, const std::string &pattern,
                  std::size_t maxBytes = SIZE_MAX)
        : m_socket(std::move(socket))
        , m_start(std::move(start))
        , m_maxBytes(maxBytes)
    {
        while (m_block.size() < MinBlockBytes)
            m_block += pattern;
        m_thread = std::thread([this] { run(); });
    }

    ~EndlessSender()
    {
        m_stopped = true;
        m_thread.join();
    }

    EndlessSender(const EndlessSender &) = delete;
    EndlessSender &operator=(const EndlessSender &) = delete;

    std::size_t sentBytes() const { return m_sentBytes; }
    bool isClosed() const { return m_closed; }

    //! Waits until the peer has closed the connection. @return False if it stays open.
    bool waitForClose() const
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(WaitSeconds);
        while (!m_closed && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return m_closed;
    }

private:
    static constexpr std::size_t MinBlockBytes = 64UL * 1024;

    void run()
    {
        while (!m_stopped && !m_closed) {
            const bool done = m_sentBytes >= m_maxBytes;
            const auto n = done ? probe() : m_socket.trySend(next());
            m_closed = !n;
            m_sentBytes += n.value_or(0);
            if (n == std::size_t { 0 })
                std::this_thread::sleep_for(std::chrono::microseconds(100));
        }
    }

    std::optional<std::size_t> probe()
    {
        return m_socket.isClosedByPeer() ? std::nullopt : std::optional<std::size_t>(0);
    }

    std::string_view next() const
    {
        if (m_sentBytes < m_start.size())
            return std::string_view(m_start).substr(m_sentBytes);
        return std::string_view(m_block).substr((m_sentBytes - m_start.size()) % m_block.size());
    }

    RawSocket m_socket;
    std::string m_start;
    std::string m_block;
    std::size_t m_maxBytes;
    std::atomic<std::size_t> m_sentBytes = 0;
    std::atomic<bool> m_closed = false;
    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

} // namespace ggv::test
