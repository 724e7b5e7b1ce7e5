#pragma once

#include <ggv/coordination/entry/rate_limiter.hpp>
#include <ggv/coordination/entry/target_state.hpp>
#include <ggv/state/budget/budget.hpp>
#include <ggv/state/model/register.hpp>
#include <ggv/state/steering/target_choice.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ggv {

class ServiceMetrics;

//! A target as one entry host sees it.
struct TargetRoute
{
    const Target *target = nullptr;
    std::shared_ptr<TargetState> state;
    Proximity proximity = Proximity::SameDomain;
    Duration roundTrip { 0 }; //!< Network only, from the register.
    std::optional<RegionPath> path; //!< For a target in another region.
};

//! What all threads of an entry host share about one service. Lock-free.
struct ServiceState
{
    std::atomic<std::uint32_t> arrivals = 0; //!< Since the control loop took them last.
    std::atomic<bool> hasUnmetDemand
        = false; //!< A request found no free slot since the last lease.
    std::atomic<std::uint32_t> queued = 0; //!< Requests that wait for a slot.
    std::atomic<Duration::rep> serviceTime = 0; //!< Mean time that a request holds a slot.
    std::atomic<ServiceMetrics *> metrics = nullptr; //!< Null only before Metrics::attach().
};

//! A service as one entry host sees it.
struct ServiceRoute
{
    const Service *service = nullptr;
    std::shared_ptr<ServiceState> state;
    std::vector<TargetRoute> targets;
};

//! @return Where a failure domain is, seen from another one.
[[nodiscard]] Proximity proximityOf(const Register &content, const FailureDomainName &domain,
                                    const FailureDomainName &other) noexcept;

//! @return Network round trip between failure domains, from the register's links.
[[nodiscard]] Duration roundTripTo(const Register &content, const FailureDomainName &domain,
                                   const FailureDomainName &other) noexcept;

/**
 * @brief Everything that the request path reads, in one immutable value.
 */
class EntryView
{
public:
    //! Gives the states that all views share.
    struct SharedStateProvider
    {
        std::function<std::shared_ptr<TargetState>(const Target &)> target;
        std::function<std::shared_ptr<ServiceState>(const Service &)> service;
        std::function<std::shared_ptr<RateLimiter>(const BudgetKey &)> rateLimiter;
    };

    /**
     * @brief Builds the view of one host.
     * @param content The register in force.
     * @param domain Failure domain of the host.
     * @param states Source of shared states.
     */
    EntryView(std::shared_ptr<const Register> content, const FailureDomainName &domain,
              const SharedStateProvider &states);

    //! @return The register in force.
    [[nodiscard]] const Register &content() const noexcept { return *m_content; }
    //! @return The service of that name, or null.
    [[nodiscard]] const ServiceRoute *service(const std::string &name) const noexcept;

private:
    std::shared_ptr<const Register> m_content;
    std::unordered_map<std::string, ServiceRoute> m_services;
};

} // namespace ggv
