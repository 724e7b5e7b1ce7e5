#include <ggv/coordination/entry/claim_waiter.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ggv {

namespace asio = boost::asio;

namespace {

//! State shared by the waiting request and the reply handler; used only on the request's event
//! loop.
struct PendingClaim
{
    explicit PendingClaim(asio::io_context &context)
        : timer(context)
    { }

    asio::steady_timer timer;
    ClaimAnswer answer;
    bool finished = false;
};

void deliverReply(const std::shared_ptr<PendingClaim> &pending, ControlPlane &control,
                  const std::string &group, const ClaimRequest &request, ClaimAnswer answer)
{
    if (!pending->finished) {
        pending->answer = std::move(answer);
        pending->timer.cancel();
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
    auto pending = std::make_shared<PendingClaim>(context);
    pending->timer.expires_at(std::chrono::steady_clock::time_point(deadline.time_since_epoch()));
    control.claim(group, request, deadline,
                  [&context, &control, pending, group,
                   request](ClaimId claim, std::optional<ClaimOutcome> outcome) {
                      asio::post(context,
                                 [&control, pending, group, request,
                                  answer = ClaimAnswer { claim, std::move(outcome) }] {
                                     deliverReply(pending, control, group, request, answer);
                                 });
                  });
    boost::system::error_code ec;
    co_await pending->timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    pending->finished = true;
    co_return std::move(pending->answer);
}

} // namespace ggv
