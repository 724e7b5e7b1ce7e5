#include <ggv/coordination/entry/claim_waiter.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ggv {

namespace asio = boost::asio;

namespace {

//! Shared by the waiting request and the answer on its way; used on the request's loop only.
struct Wait
{
    explicit Wait(asio::io_context &context)
        : timer(context)
    { }

    asio::steady_timer timer;
    ClaimAnswer answer;
    bool over = false;
};

void deliver(const std::shared_ptr<Wait> &wait, ControlPlane &control, const std::string &group,
             const ClaimRequest &request, ClaimAnswer answer)
{
    if (!wait->over) {
        wait->answer = std::move(answer);
        wait->timer.cancel();
        return;
    }
    if (answer.outcome && answer.outcome->decision == ClaimDecision::Granted)
        control.releaseClaim(group, { request.key, answer.claim });
}

} // namespace

asio::awaitable<ClaimAnswer> awaitClaim(asio::io_context &context, ControlPlane &control,
                                        const std::string &group, const ClaimRequest &request,
                                        Instant deadline)
{
    auto wait = std::make_shared<Wait>(context);
    wait->timer.expires_at(std::chrono::steady_clock::time_point(deadline.time_since_epoch()));
    control.claim(group, request, deadline,
                  [&context, &control, wait, group, request](ClaimId claim,
                                                             std::optional<ClaimOutcome> outcome) {
                      asio::post(context,
                                 [&control, wait, group, request,
                                  answer = ClaimAnswer { claim, std::move(outcome) }] {
                                     deliver(wait, control, group, request, answer);
                                 });
                  });
    boost::system::error_code ec;
    co_await wait->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    wait->over = true;
    co_return std::move(wait->answer);
}

} // namespace ggv
