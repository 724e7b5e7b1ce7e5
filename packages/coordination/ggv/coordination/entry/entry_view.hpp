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

//! Route from one entry host to a target.
struct TargetRoute
{
    const Target *target = nullptr;
    std::shared_ptr<TargetState> state;
    Proximity proximity = Proximity::SameDomain;
    Duration roundTrip { 0 }; //!< Network round trip, without service time; from the register.
    std::optional<RegionPath> path; //!< Set only for a target in another region.
};

//! State of one service that all threads of an entry host share; lock-free.
struct ServiceState
{
    std::atomic<std::uint32_t> arrivals = 0; //!< Requests since TargetTable::takeDemands().
    //! A request found no free slot since the last call of TargetTable::takeUnmetDemand().
    std::atomic<bool> hasUnmetDemand = false;
    std::atomic<std::uint32_t> queued = 0; //!< Requests waiting for a slot.
    std::atomic<Duration::rep> serviceTime = 0; //!< Mean time for which a request occupies a slot.
    std::atomic<ServiceMetrics *> metrics = nullptr; //!< Null until Metrics::attach().
};

//! Routes from one entry host to the targets of a service.
struct ServiceRoute
{
    const Service *service = nullptr;
    std::shared_ptr<ServiceState> state;
    std::vector<TargetRoute> targets;
};

//! @return Proximity of one failure domain to another.
[[nodiscard]] Proximity proximityOf(const Register &content, const FailureDomainName &domain,
                                    const FailureDomainName &other) noexcept;

//! @return Network round-trip time between failure domains, from the links of the register.
[[nodiscard]] Duration roundTripTo(const Register &content, const FailureDomainName &domain,
                                   const FailureDomainName &other) noexcept;

/**
 * @brief Immutable snapshot of everything that the request path reads from the register.
 */
class EntryView
{
public:
    //! Provides the mutable state that successive views share.
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
     * @param states Provider of the shared state.
     */
    EntryView(std::shared_ptr<const Register> content, const FailureDomainName &domain,
              const SharedStateProvider &states);

    //! @return The register that the view was built from.
    [[nodiscard]] const Register &content() const noexcept { return *m_content; }
    //! @return The service with this name, or null.
    [[nodiscard]] const ServiceRoute *service(const std::string &name) const noexcept;

private:
    std::shared_ptr<const Register> m_content;
    std::unordered_map<std::string, ServiceRoute> m_services;
};

} // namespace ggv
