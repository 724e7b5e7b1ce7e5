#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace ggv {

/**
 * @brief Fixed-size pool of threads, each running its own event loop.
 *
 * All handlers of a connection run on the same loop, so they need no locks.
 */
class IoPool
{
public:
    //! @param threads Number of event loops; 0 is treated as 1.
    explicit IoPool(std::size_t threads);
    ~IoPool();
    IoPool(const IoPool &) = delete;
    IoPool &operator=(const IoPool &) = delete;

    //! @return Number of event loops.
    [[nodiscard]] std::size_t size() const noexcept;
    //! @return Event loop with the given index, which must be less than size().
    [[nodiscard]] boost::asio::io_context &context(std::size_t number) noexcept;
    //! @return Index of the event loop that the calling thread runs; size() if it runs none of
    //! them.
    [[nodiscard]] std::size_t currentIndex() const noexcept;
    //! Starts the threads.
    void start();
    //! Stops the event loops and joins the threads.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
