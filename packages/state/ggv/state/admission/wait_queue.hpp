#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace ggv {

//! A request waiting for a slot.
struct QueueEntry
{
    std::uint64_t request = 0; //!< Identifier of the request, chosen by the user of the queue.
    Instant enqueuedAt {};
    Instant expiresAt {}; //!< Time at which the request is shed.

    [[nodiscard]] auto operator<=>(const QueueEntry &) const noexcept = default;
};

//! Order in which slots are assigned to waiting requests.
enum class QueueOrder : std::uint8_t {
    Fifo, //!< Oldest first.
    AdaptiveLifo, //!< Oldest first; newest first while the oldest has waited for at least
                  //!< WaitQueuePolicy::lifoThreshold.
};

//! Parameters of a WaitQueue.
struct WaitQueuePolicy
{
    std::size_t capacity = 64; //!< Maximum number of requests.
    QueueOrder order = QueueOrder::Fifo;
    Duration lifoThreshold {
        100'000
    }; //!< Waiting time of the oldest request that indicates overload.

    [[nodiscard]] auto operator<=>(const WaitQueuePolicy &) const noexcept = default;
};

//! Bounded queue of requests with deadlines; allocates memory only on construction.
class WaitQueue
{
public:
    explicit WaitQueue(const WaitQueuePolicy &policy = {});

    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }
    [[nodiscard]] bool empty() const noexcept { return m_entries.empty(); }

    /**
     * @brief Adds a request.
     * @return False if the queue is full; the request must then be shed immediately.
     */
    [[nodiscard]] bool push(const QueueEntry &entry) noexcept;

    /**
     * @brief Removes and returns the next request in queue order.
     * @param now Current time; expired requests are skipped.
     * @return The request, or std::nullopt if no unexpired request is waiting.
     */
    [[nodiscard]] std::optional<QueueEntry> pop(Instant now) noexcept;

    /**
     * @brief Removes and returns one expired request; call repeatedly until there is none.
     * @param now Current time.
     * @return The request to shed, or std::nullopt if none has expired.
     */
    [[nodiscard]] std::optional<QueueEntry> popExpired(Instant now) noexcept;

    //! @return Earliest expiry of a waiting request, or std::nullopt if the queue is empty.
    [[nodiscard]] std::optional<Instant> nextExpiry() const noexcept;

    /**
     * @brief Removes a cancelled request.
     * @param request Identifier in the request's entry.
     * @return True if the request was in the queue.
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
