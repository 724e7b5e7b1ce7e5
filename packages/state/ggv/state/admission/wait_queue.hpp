#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ggv {

//! A request that waits for a slot.
struct QueueEntry
{
    std::uint64_t request = 0; //!< The caller's own number for the request.
    Instant enqueuedAt {};
    Instant expiresAt {}; //!< Shed the request at this time.

    [[nodiscard]] auto operator<=>(const QueueEntry &) const noexcept = default;
};

//! Order in which waiting requests get slots.
enum class QueueOrder : std::uint8_t {
    Fifo, //!< Oldest first.
    AdaptiveLifo, //!< Oldest first, but newest first while the oldest has waited for too long.
};

//! Parameters of a WaitQueue.
struct WaitQueuePolicy
{
    std::size_t capacity = 64; //!< Requests.
    QueueOrder order = QueueOrder::Fifo;
    Duration lifoThreshold { 100'000 }; //!< Wait of the oldest request that means overload.

    [[nodiscard]] auto operator<=>(const WaitQueuePolicy &) const noexcept = default;
};

//! Bounded queue of requests with deadlines; allocates only when it is constructed.
class WaitQueue
{
public:
    //! @param policy Parameters.
    explicit WaitQueue(const WaitQueuePolicy &policy = {});

    //! @return Number of requests that wait.
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    //! @return True if no request waits.
    [[nodiscard]] bool empty() const noexcept { return m_entries.empty(); }

    /**
     * @brief Adds a request.
     * @param entry The request.
     * @return False if the queue is full, so that the request must be shed now.
     */
    [[nodiscard]] bool push(const QueueEntry &entry) noexcept;

    /**
     * @brief Takes the request that gets the next free slot.
     * @param now Current time; a request that has expired is never taken.
     * @return The request, or nothing if none waits.
     */
    [[nodiscard]] std::optional<QueueEntry> pop(Instant now) noexcept;

    /**
     * @brief Takes one request that has expired; call until there is none.
     * @param now Current time.
     * @return The request to shed, or nothing.
     */
    [[nodiscard]] std::optional<QueueEntry> popExpired(Instant now) noexcept;

    //! @return When the next request expires, or nothing if none waits.
    [[nodiscard]] std::optional<Instant> nextExpiry() const noexcept;

    /**
     * @brief Removes a request that was cancelled.
     * @param request The number in its entry.
     * @return True if it was waiting.
     */
    bool remove(std::uint64_t request) noexcept;

private:
    using Entries = std::vector<QueueEntry>;

    [[nodiscard]] QueueEntry removeAt(Entries::iterator it) noexcept;
    [[nodiscard]] bool isOverloaded(Instant now) const noexcept;

    WaitQueuePolicy m_policy;
    Entries m_entries; //!< Oldest first.
};

} // namespace ggv
