#pragma once

#include <ggv/state/core/result.hpp>
#include <ggv/state/core/shared_vector.hpp>
#include <ggv/state/model/entities.hpp>

#include <memory>
#include <string>
#include <vector>

namespace ggv {

class ContentScope;
struct RegisterDelta;

//! Content of a register file. After validation, lists are sorted by key and have no duplicates.
struct RegisterContent
{
    SharedVector<Region> regions;
    SharedVector<FailureDomain> domains;
    SharedVector<EntryHost> hosts;
    std::vector<HostName> controlVoters; //!< Voters of the control quorum.
    SharedVector<ClaimGroup> claimGroups;
    SharedVector<Service> services;
    SharedVector<Target> targets;
    SharedVector<Link> links;
    SharedVector<ClientBlock> clientBlocks;
    SharedVector<ShiftCap> shiftCaps;
    SharedVector<Drain> drains;
    std::string platformListUrl; //!< URL of the list of live and leaving hosts; may be empty.

    [[nodiscard]] auto operator<=>(const RegisterContent &) const = default;
};

/**
 * @brief Validated, immutable register with indices by name.
 *
 * All references between entities are valid; copies share their content.
 */
class Register
{
public:
    //! Creates the empty register with version 0.
    Register();

    /**
     * @brief Validates content and builds the indices.
     * @param version Version of this register.
     * @param content Content of the register; lists may be in any order.
     * @return The register, or RegisterInvalid with a message that lists all faults, one per line.
     */
    [[nodiscard]] static Result<Register> create(RegisterVersion version, RegisterContent content);

    [[nodiscard]] RegisterVersion version() const noexcept;
    [[nodiscard]] const RegisterContent &content() const noexcept;

    //! @return The entity with this name, or null.
    [[nodiscard]] const Region *region(const RegionName &name) const noexcept;
    //! @copydoc region
    [[nodiscard]] const FailureDomain *domain(const FailureDomainName &name) const noexcept;
    //! @copydoc region
    [[nodiscard]] const EntryHost *host(const HostName &name) const noexcept;
    //! @copydoc region
    [[nodiscard]] const Service *service(const ServiceName &name) const noexcept;
    //! @copydoc region
    [[nodiscard]] const Target *target(const TargetName &name) const noexcept;
    //! @copydoc region
    [[nodiscard]] const ClaimGroup *claimGroup(const ClaimGroupName &name) const noexcept;

    //! @return The link between two regions, given in either order, or null.
    [[nodiscard]] const Link *link(const RegionName &one, const RegionName &other) const noexcept;
    //! @return The shift cap of a service from one region to another, or null.
    [[nodiscard]] const ShiftCap *shiftCap(const ServiceName &service, const RegionName &from,
                                           const RegionName &to) const noexcept;
    //! @return Region of a failure domain; null if the domain is unknown.
    [[nodiscard]] const RegionName *regionOf(const FailureDomainName &domain) const noexcept;
    //! @return Targets of a service.
    [[nodiscard]] const std::vector<const Target *> &
    targetsOf(const ServiceName &service) const noexcept;
    //! @return Entry hosts of a failure domain.
    [[nodiscard]] const std::vector<const EntryHost *> &
    hostsOf(const FailureDomainName &domain) const noexcept;

    //! Equal if version and content are equal.
    [[nodiscard]] bool operator==(const Register &other) const noexcept;

private:
    friend Result<Register> applyDelta(const Register &base, const RegisterDelta &delta);

    struct Index;
    explicit Register(std::shared_ptr<const Index> index);

    // Like create(), for content in normal form: checks only the entities in `scope` and reuses the
    // indices of lists that are shared with `base`.
    [[nodiscard]] static Result<Register> derive(const Register &base, RegisterVersion version,
                                                 RegisterContent content,
                                                 const ContentScope &scope);

    std::shared_ptr<const Index> m_index;
};

/**
 * @brief Checks the rules for changes between versions, such as that the claim group of a service
 * cannot change.
 * @param current The register in force.
 * @param next The proposed content.
 * @throws Error RegisterInvalid with the violated rule.
 */
void checkTransition(const Register &current, const RegisterContent &next);

} // namespace ggv
