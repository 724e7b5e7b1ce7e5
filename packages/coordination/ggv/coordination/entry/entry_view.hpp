#pragma once

#include <ggv/coordination/entry/target_state.hpp>
#include <ggv/state/model/register.hpp>
#include <ggv/state/steering/target_choice.hpp>

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace ggv {

//! A target as one entry host sees it.
struct TargetRoute
{
    const Target *target = nullptr;
    std::shared_ptr<TargetState> state;
    Proximity proximity = Proximity::SameDomain;
    Duration roundTrip { 0 }; //!< Network only, from the register.
};

//! A service as one entry host sees it.
struct ServiceRoute
{
    const Service *service = nullptr;
    std::vector<TargetRoute> targets;
};

/**
 * @brief Everything that the request path reads, in one immutable value.
 */
class EntryView
{
public:
    //! Gives the state that is shared by all views for a target.
    using StateSource = std::function<std::shared_ptr<TargetState>(const Target &)>;

    /**
     * @brief Builds the view of one host.
     * @param content The register in force.
     * @param domain Failure domain of the host.
     * @param states Source of target states.
     */
    EntryView(std::shared_ptr<const Register> content, const FailureDomainName &domain,
              const StateSource &states);

    //! @return The register in force.
    [[nodiscard]] const Register &content() const noexcept { return *m_content; }
    //! @return The service of that name, or null.
    [[nodiscard]] const ServiceRoute *service(const std::string &name) const noexcept;

private:
    std::shared_ptr<const Register> m_content;
    std::unordered_map<std::string, ServiceRoute> m_services;
};

} // namespace ggv
