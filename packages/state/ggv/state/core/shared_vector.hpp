#pragma once

#include <atomic>
#include <compare>
#include <cstddef>
#include <initializer_list>
#include <memory>
#include <utility>
#include <vector>

namespace ggv {

/**
 * @brief Copy-on-write vector: copies share their elements until one of them is modified.
 *
 * Access through a non-const object counts as a modification. Different threads may use different
 * copies.
 * @tparam Value Type of the elements.
 */
template <typename Value>
class SharedVector
{
public:
    using Items = std::vector<Value>;
    using value_type = Value; // NOLINT(readability-identifier-naming): name in the standard library
    using iterator = typename Items::iterator; // NOLINT(readability-identifier-naming)
    using const_iterator = typename Items::const_iterator; // NOLINT(readability-identifier-naming)

    SharedVector() = default;

    //! @param items The elements.
    SharedVector(Items items) // NOLINT(google-explicit-constructor)
        : m_items(items.empty() ? nullptr : std::make_shared<Items>(std::move(items)))
    { }

    //! @param items The elements.
    SharedVector(std::initializer_list<Value> items)
        : SharedVector(Items(items))
    { }

    //! @return The elements.
    [[nodiscard]] const Items &items() const noexcept
    {
        static const Items none;
        return m_items ? *m_items : none;
    }

    //! @copydoc items()
    [[nodiscard]] operator const Items &() const noexcept // NOLINT(google-explicit-constructor)
    {
        return items();
    }

    //! @return The elements for modification; copied first if they are shared with another object.
    [[nodiscard]] Items &edit()
    {
        if (!m_items)
            m_items = std::make_shared<Items>();
        else if (m_items.use_count() > 1)
            m_items = std::make_shared<Items>(*m_items);
        else
            std::atomic_thread_fence(std::memory_order_acquire); // After other owners' last read.
        return *m_items;
    }

    //! @return True if both objects share the same elements and are therefore equal.
    [[nodiscard]] bool sharesWith(const SharedVector &other) const noexcept
    {
        return m_items == other.m_items;
    }

    [[nodiscard]] std::size_t size() const noexcept { return items().size(); }
    [[nodiscard]] bool empty() const noexcept { return items().empty(); }
    [[nodiscard]] const_iterator begin() const noexcept { return items().begin(); }
    [[nodiscard]] const_iterator end() const noexcept { return items().end(); }
    [[nodiscard]] iterator begin() { return edit().begin(); }
    [[nodiscard]] iterator end() { return edit().end(); }
    [[nodiscard]] const Value &operator[](std::size_t index) const { return items()[index]; }
    [[nodiscard]] Value &operator[](std::size_t index) { return edit()[index]; }
    [[nodiscard]] const Value &at(std::size_t index) const { return items().at(index); }
    [[nodiscard]] const Value &front() const { return items().front(); }
    [[nodiscard]] const Value &back() const { return items().back(); }

    //! @copydoc std::vector::push_back
    void push_back(Value value) // NOLINT(readability-identifier-naming)
    {
        edit().push_back(std::move(value));
    }

    //! @copydoc std::vector::pop_back
    void pop_back() // NOLINT(readability-identifier-naming)
    {
        edit().pop_back();
    }

    //! @return The new, default-initialized element.
    Value &emplace_back() // NOLINT(readability-identifier-naming)
    {
        return edit().emplace_back();
    }

    //! Removes all elements.
    void clear() noexcept { m_items.reset(); }

    [[nodiscard]] bool operator==(const SharedVector &other) const
    {
        return sharesWith(other) || items() == other.items();
    }

    [[nodiscard]] std::compare_three_way_result_t<Value>
    operator<=>(const SharedVector &other) const
    {
        if (sharesWith(other))
            return std::strong_ordering::equal;
        return items() <=> other.items();
    }

private:
    std::shared_ptr<Items> m_items;
};

} // namespace ggv
