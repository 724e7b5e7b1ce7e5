#pragma once

#include <ggv/coordination/quorum/quorum.hpp>
#include <ggv/state/core/time.hpp>

#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ggv {

/**
 * @brief Lets a coroutine wait for what becomes of a proposal or read, for a bounded time.
 */
class CompletionWaiter : public std::enable_shared_from_this<CompletionWaiter>
{
public:
    //! @param context Loop. @param patience Longest wait.
    [[nodiscard]] static std::shared_ptr<CompletionWaiter> create(boost::asio::io_context &context,
                                                                  Duration timeout);

    //! @return Handler for the quorum; keeps this object alive.
    [[nodiscard]] Quorum::CompletionHandler handler();
    //! @return The completion; nothing if the time is over.
    [[nodiscard]] boost::asio::awaitable<std::optional<Completion>> wait();

private:
    CompletionWaiter(boost::asio::io_context &context, Duration timeout);

    boost::asio::steady_timer m_timer;
    std::optional<Completion> m_completion;
};

} // namespace ggv
