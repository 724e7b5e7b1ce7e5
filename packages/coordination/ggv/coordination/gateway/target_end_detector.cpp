#include <ggv/coordination/gateway/target_end_detector.hpp>

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace ggv {

namespace asio = boost::asio;

namespace {

//! A connection that fails later was not refused: the target or the path to it is silent.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);

} // namespace

TargetEndDetector::TargetEndDetector(asio::io_context &loop, HttpClientPool &connections)
    : m_loop(loop)
    , m_connections(&connections)
{ }

std::shared_ptr<TargetEndDetector> TargetEndDetector::create(asio::io_context &loop,
                                                             HttpClientPool &connections)
{
    return std::shared_ptr<TargetEndDetector>(new TargetEndDetector(loop, connections));
}

void TargetEndDetector::observeLoss(const ListedTarget &target, RequestFingerprint request)
{
    const auto known = m_losses.find(target.instance);
    if (known == m_losses.end()) {
        if (m_losses.size() >= MaxTargets)
            return;
        m_losses[target.instance] = { request };
        asio::co_spawn(m_loop, check(shared_from_this(), target), asio::detached);
        return;
    }
    auto &requests = known->second;
    const bool isKnown = std::find(requests.begin(), requests.end(), request) != requests.end();
    if (!isKnown && requests.size() < MaxRequests)
        requests.push_back(request);
}

asio::awaitable<void> TargetEndDetector::check(std::shared_ptr<TargetEndDetector> self,
                                               ListedTarget target)
{
    TargetEnd end;
    end.firstLossAt = monotonicNow();
    asio::steady_timer timer(self->m_loop);
    timer.expires_after(CheckDelay);
    co_await timer.async_wait(asio::use_awaitable);
    const bool hasEnded = co_await self->isRefused(target.endpoint);
    end.requests = std::move(self->m_losses.extract(target.instance).mapped());
    end.target = std::move(target);
    if (hasEnded && self->m_connections != nullptr)
        self->m_onTargetEnded(end);
}

asio::awaitable<bool> TargetEndDetector::isRefused(Endpoint endpoint)
{
    if (m_connections == nullptr)
        co_return false;
    const Instant connectBy = monotonicNow() + ConnectTimeout;
    std::unique_ptr<ClientExchange> connection;
    try {
        connection = co_await m_connections->open(endpoint, true, connectBy);
    } catch (const Error &) {
        // The failure is the result of the check, not an error.
        co_return monotonicNow() < connectBy;
    }
    co_return false;
}

} // namespace ggv
