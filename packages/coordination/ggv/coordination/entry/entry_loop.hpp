#pragma once

#include <ggv/coordination/entry/entry_view.hpp>
#include <ggv/state/admission/load_shedder.hpp>
#include <ggv/state/admission/retry_budget.hpp>
#include <ggv/state/admission/wait_queue.hpp>
#include <ggv/state/core/random_source.hpp>
#include <ggv/transport/http/http_client.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ggv {

//! A target together with a permit to send one request to it.
struct ChosenTarget
{
    const TargetRoute *route = nullptr;
    TargetPermit permit;
};

//! Reason why a request was not assigned to a target.
struct AdmissionRefusal
{
    ResultCode code = ResultCode::Overloaded;
    Duration retryAfter { 0 };
};

/**
 * @brief State of one event loop of an entry host: connections to targets, request queues and
 * retry budgets.
 *
 * Accessed only from its own event loop, so no locking is needed.
 */
class EntryLoop
{
public:
    //! @param context The event loop. @param seed Seed of the random source.
    EntryLoop(boost::asio::io_context &context, std::uint64_t seed);
    ~EntryLoop();
    EntryLoop(const EntryLoop &) = delete;
    EntryLoop &operator=(const EntryLoop &) = delete;

    //! Returns the pool of connections to targets.
    [[nodiscard]] HttpClientPool &pool() noexcept;
    [[nodiscard]] RandomSource &random() noexcept;
    [[nodiscard]] boost::asio::io_context &context() noexcept;

    //! Counts an accepted request for the arrival rate and the retry budget of its service.
    void onRequest(const ServiceRoute &service);
    //! Acquires one retry from the retry budget. @return False if the budget is exhausted.
    [[nodiscard]] bool tryRetry(const ServiceRoute &service);

    /**
     * @brief Assigns a target to a request, queueing the request if no slot is free.
     *
     * Sheds the request at once if it could not finish before its deadline.
     *
     * @param view Owns the routes; retained while the request is queued.
     * @param service The requested service.
     * @param tried Targets that earlier attempts of the request used; excluded unless the request
     * is queued.
     * @param deadline Deadline of the request.
     * @param cancelled Becomes true when the caller disconnects.
     * @param refusal Receives the reason if no target is returned.
     * @return The target; its route is null if the request is refused.
     */
    [[nodiscard]] boost::asio::awaitable<ChosenTarget>
    admit(std::shared_ptr<const EntryView> view, const ServiceRoute &service,
          const std::set<std::uint32_t> &tried, Instant deadline,
          const std::shared_ptr<bool> &cancelled, AdmissionRefusal &refusal);
    //! Assigns free slots to queued requests.
    void dispatchQueuedRequests();
    //! @return True if a target that has not been tried yet can accept requests.
    [[nodiscard]] bool hasOtherTarget(const ServiceRoute &service,
                                      const std::set<std::uint32_t> &tried) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
