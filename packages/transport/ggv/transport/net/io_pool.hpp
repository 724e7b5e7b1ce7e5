#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

namespace ggv {

/**
 * @brief A fixed set of threads, each with an event loop of its own.
 *
 * Everything that belongs to one connection runs on one loop, so it needs no lock.
 */
class IoPool
{
public:
    //! @param threads Number of loops; at least 1.
    explicit IoPool(std::size_t threads);
    ~IoPool();
    IoPool(const IoPool &) = delete;
    IoPool &operator=(const IoPool &) = delete;

    //! @return Number of loops.
    [[nodiscard]] std::size_t size() const noexcept;
    //! @return A loop by number, below size().
    [[nodiscard]] boost::asio::io_context &context(std::size_t number) noexcept;
    //! @return Number of the loop that the calling thread runs; size() if it runs none.
    [[nodiscard]] std::size_t currentNumber() const noexcept;
    //! Starts the threads.
    void start();
    //! Stops the loops and joins the threads.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
