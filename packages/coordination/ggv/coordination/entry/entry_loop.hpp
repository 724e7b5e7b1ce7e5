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

//! A target with the right to send it one request.
struct ChosenTarget
{
    const TargetRoute *route = nullptr;
    TargetPermit permit;
};

//! Why a request got no target.
struct AdmissionRefusal
{
    ResultCode code = ResultCode::Overloaded;
    Duration retryAfter { 0 };
};

/**
 * @brief What belongs to one worker loop: connections to targets, queues, budgets of retries.
 *
 * Used only on its loop, so it needs no lock.
 */
class EntryLoop
{
public:
    //! @param context The loop. @param seed Of the random source.
    EntryLoop(boost::asio::io_context &context, std::uint64_t seed);
    ~EntryLoop();
    EntryLoop(const EntryLoop &) = delete;
    EntryLoop &operator=(const EntryLoop &) = delete;

    //! @return Connections to targets.
    [[nodiscard]] HttpClientPool &pool() noexcept;
    //! @return Random source.
    [[nodiscard]] RandomSource &random() noexcept;
    //! @return The loop.
    [[nodiscard]] boost::asio::io_context &context() noexcept;

    //! Notes the first attempt of a request.
    void onRequest(const ServiceRoute &service);
    //! Asks for one retry and counts it if allowed.
    [[nodiscard]] bool tryRetry(const ServiceRoute &service);

    /**
     * @brief Waits for a target that may take a request, or refuses the request at once.
     * @param view Keeps the routes alive.
     * @param service The service.
     * @param tried Targets that must not be chosen again.
     * @param deadline Of the request.
     * @param cancelled Set when the caller is gone.
     * @param refusal Set if no target is returned.
     * @return The target; no route if refused.
     */
    [[nodiscard]] boost::asio::awaitable<ChosenTarget>
    admit(std::shared_ptr<const EntryView> view, const ServiceRoute &service,
          const std::set<std::uint32_t> &tried, Instant deadline,
          const std::shared_ptr<bool> &cancelled, AdmissionRefusal &refusal);
    //! Gives free slots to waiting requests.
    void dispatchQueuedRequests();
    //! @return True if another target than the tried ones could take a request.
    [[nodiscard]] bool hasOtherTarget(const ServiceRoute &service,
                                      const std::set<std::uint32_t> &tried) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
