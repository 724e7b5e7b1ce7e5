#include <ggv/state/admission/memory_budget.hpp>

#include <utility>

namespace ggv {

MemoryBudget::MemoryBudget(std::uint64_t capacity)
    : m_usage(std::make_shared<Usage>(Usage { capacity, 0 }))
{ }

MemoryReservation MemoryBudget::reservation() const { return MemoryReservation(m_usage); }

std::uint64_t MemoryBudget::used() const noexcept { return m_usage->used; }

MemoryReservation::MemoryReservation(std::shared_ptr<MemoryBudget::Usage> usage) noexcept
    : m_usage(std::move(usage))
{ }

MemoryReservation::MemoryReservation(MemoryReservation &&other) noexcept
    : m_usage(std::move(other.m_usage))
    , m_size(std::exchange(other.m_size, 0))
{ }

MemoryReservation::~MemoryReservation()
{
    if (m_usage)
        m_usage->used -= m_size;
}

bool MemoryReservation::tryGrowTo(std::uint64_t bytes) noexcept
{
    if (bytes <= m_size)
        return true;
    const std::uint64_t growth = bytes - m_size;
    if (growth > m_usage->capacity - m_usage->used)
        return false;
    m_usage->used += growth;
    m_size = bytes;
    return true;
}

} // namespace ggv
