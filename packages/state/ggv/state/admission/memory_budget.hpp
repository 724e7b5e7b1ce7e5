#pragma once

#include <cstdint>
#include <memory>

namespace ggv {

class MemoryReservation;

/**
 * @brief Bounds the memory that the bodies of concurrent requests occupy together.
 *
 * Not thread-safe. Reservations may outlive the budget.
 */
class MemoryBudget
{
public:
    //! @param capacity Maximum sum of all reservations, in bytes.
    explicit MemoryBudget(std::uint64_t capacity);

    //! @return An empty reservation of this budget.
    [[nodiscard]] MemoryReservation reservation() const;
    //! @return Sum of all reservations, in bytes.
    [[nodiscard]] std::uint64_t used() const noexcept;

private:
    friend class MemoryReservation;

    struct Usage
    {
        std::uint64_t capacity = 0; //!< Bytes.
        std::uint64_t used = 0; //!< Bytes.
    };

    std::shared_ptr<Usage> m_usage;
};

//! Memory of one request; returned to the budget on destruction.
class MemoryReservation
{
public:
    MemoryReservation(MemoryReservation &&other) noexcept;
    MemoryReservation &operator=(MemoryReservation &&) = delete;
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;
    ~MemoryReservation();

    /**
     * @brief Raises the reservation; does nothing if it is that large already.
     * @param bytes New size of the reservation.
     * @return False if the budget has too little left; the reservation is unchanged then.
     */
    [[nodiscard]] bool tryGrowTo(std::uint64_t bytes) noexcept;

private:
    friend class MemoryBudget;

    explicit MemoryReservation(std::shared_ptr<MemoryBudget::Usage> usage) noexcept;

    std::shared_ptr<MemoryBudget::Usage> m_usage;
    std::uint64_t m_size = 0;
};

} // namespace ggv
