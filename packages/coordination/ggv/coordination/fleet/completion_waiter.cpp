#include <ggv/coordination/fleet/completion_waiter.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ggv {

std::shared_ptr<CompletionWaiter> CompletionWaiter::create(boost::asio::io_context &context,
                                                           Duration timeout)
{
    return std::shared_ptr<CompletionWaiter>(new CompletionWaiter(context, timeout));
}

CompletionWaiter::CompletionWaiter(boost::asio::io_context &context, Duration timeout)
    : m_timer(context)
{
    m_timer.expires_after(timeout);
}

Quorum::CompletionHandler CompletionWaiter::handler()
{
    return [self = shared_from_this()](const Completion &completion) {
        self->m_completion = completion;
        self->m_timer.cancel();
    };
}

boost::asio::awaitable<std::optional<Completion>> CompletionWaiter::wait()
{
    const auto self = shared_from_this();
    boost::system::error_code cancelledByCompletion;
    if (!self->m_completion)
        co_await self->m_timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, cancelledByCompletion));
    co_return self->m_completion;
}

} // namespace ggv
