#pragma once

#include <memory>
#include <mutex>
#include <utility>

#include <urcu/urcu-memb.h>

namespace ggv {

namespace detail {

//! Registers the calling thread with the read-copy-update library for the lifetime of the thread.
class RcuThread
{
public:
    RcuThread() { urcu_memb_register_thread(); }
    ~RcuThread() { urcu_memb_unregister_thread(); }
    RcuThread(const RcuThread &) = delete;
    RcuThread &operator=(const RcuThread &) = delete;

    static void ensureRegistered() { static thread_local const RcuThread registration; }
};

//! Read-side critical section.
class RcuReadLock
{
public:
    RcuReadLock()
    {
        RcuThread::ensureRegistered();
        urcu_memb_read_lock();
    }
    ~RcuReadLock() { urcu_memb_read_unlock(); }
    RcuReadLock(const RcuReadLock &) = delete;
    RcuReadLock &operator=(const RcuReadLock &) = delete;
};

} // namespace detail

/**
 * @brief Holds an immutable value that readers access without locking and writers replace entirely.
 * @tparam Value Type of the value; readers may hold a reference beyond the critical section.
 */
template <typename Value>
class RcuCell
{
public:
    //! @param value Initial value; must not be null.
    explicit RcuCell(std::shared_ptr<const Value> value)
        : m_current(new std::shared_ptr<const Value>(std::move(value)))
    { }

    ~RcuCell() { delete m_current; }
    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;

    /**
     * @brief Reads the current value without locking.
     * @return A reference that remains valid after later writes.
     */
    [[nodiscard]] std::shared_ptr<const Value> read() const
    {
        const detail::RcuReadLock lock;
        return *rcu_dereference(m_current);
    }

    /**
     * @brief Replaces the value; returns once no reader can still access the previous pointer.
     * @param value New value; must not be null.
     */
    void replace(std::shared_ptr<const Value> value)
    {
        const std::scoped_lock lock(m_writer);
        auto *previous = m_current;
        auto *next = new std::shared_ptr<const Value>(std::move(value));
        rcu_assign_pointer(m_current, next);
        urcu_memb_synchronize_rcu();
        delete previous;
    }

private:
    std::shared_ptr<const Value> *m_current;
    std::mutex m_writer;
};

} // namespace ggv
