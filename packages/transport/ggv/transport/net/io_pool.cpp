#include <ggv/transport/net/io_pool.hpp>

#include <algorithm>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>

namespace ggv {

namespace {

using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

thread_local const void *currentPool = nullptr;
thread_local std::size_t currentLoop = 0;

struct Loop
{
    boost::asio::io_context context { 1 };
    WorkGuard guard { context.get_executor() };
    std::thread thread;
};

} // namespace

class IoPool::Implementation
{
public:
    explicit Implementation(std::size_t threads)
    {
        for (std::size_t n = 0; n < std::max<std::size_t>(threads, 1); ++n)
            m_loops.push_back(std::make_unique<Loop>());
    }

    std::vector<std::unique_ptr<Loop>> m_loops;
};

IoPool::IoPool(std::size_t threads)
    : m_implementation(std::make_unique<Implementation>(threads))
{ }

IoPool::~IoPool() { stop(); }

std::size_t IoPool::size() const noexcept { return m_implementation->m_loops.size(); }

boost::asio::io_context &IoPool::context(std::size_t number) noexcept
{
    return m_implementation->m_loops[number]->context;
}

std::size_t IoPool::currentIndex() const noexcept
{
    return currentPool == this ? currentLoop : size();
}

void IoPool::start()
{
    for (std::size_t n = 0; n < size(); ++n) {
        auto &loop = *m_implementation->m_loops[n];
        loop.thread = std::thread([this, n, &loop] {
            currentPool = this;
            currentLoop = n;
            loop.context.run();
        });
    }
}

void IoPool::stop()
{
    for (auto &loop : m_implementation->m_loops)
        loop->context.stop();
    for (auto &loop : m_implementation->m_loops) {
        if (loop->thread.joinable())
            loop->thread.join();
    }
}

} // namespace ggv
