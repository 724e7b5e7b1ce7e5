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
 * @brief Lets a coroutine wait, with a timeout, until a proposal or read of the quorum completes.
 */
class CompletionWaiter : public std::enable_shared_from_this<CompletionWaiter>
{
public:
    //! @param context Event loop. @param timeout Maximum time to wait.
    [[nodiscard]] static std::shared_ptr<CompletionWaiter> create(boost::asio::io_context &context,
                                                                  Duration timeout);

    //! @return Completion handler to hand to the quorum; it holds a reference to this object.
    [[nodiscard]] Quorum::CompletionHandler handler();
    //! @return The completion; std::nullopt if the timeout expires first.
    [[nodiscard]] boost::asio::awaitable<std::optional<Completion>> wait();

private:
    CompletionWaiter(boost::asio::io_context &context, Duration timeout);

    boost::asio::steady_timer m_timer;
    std::optional<Completion> m_completion;
};

} // namespace ggv
