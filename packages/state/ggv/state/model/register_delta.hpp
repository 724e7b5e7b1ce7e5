#pragma once

#include <ggv/state/model/register.hpp>

#include <string>
#include <vector>

namespace ggv {

/**
 * @brief Changes to the entities of one kind.
 * @tparam Entity Type of the entities.
 */
template <typename Entity>
struct EntityDelta
{
    std::vector<Entity> put; //!< Entities to add or replace.
    std::vector<std::string> remove; //!< Keys of entities to remove; see entityKey().

    [[nodiscard]] auto operator<=>(const EntityDelta &) const = default;
};

//! Difference between two versions of the register.
struct RegisterDelta
{
    RegisterVersion from = 0;
    RegisterVersion to = 0;
    EntityDelta<Region> regions;
    EntityDelta<FailureDomain> domains;
    EntityDelta<EntryHost> hosts;
    EntityDelta<HostName> controlVoters;
    EntityDelta<ClaimGroup> claimGroups;
    EntityDelta<Service> services;
    EntityDelta<Target> targets;
    EntityDelta<Link> links;
    EntityDelta<ClientBlock> clientBlocks;
    EntityDelta<ShiftCap> shiftCaps;
    EntityDelta<Drain> drains;
    std::string platformListUrl; //!< Value in the newer version.

    [[nodiscard]] auto operator<=>(const RegisterDelta &) const = default;
};

//! @return Key that identifies an entity among all entities of its kind.
[[nodiscard]] std::string entityKey(const Region &region);
//! @copydoc entityKey
[[nodiscard]] std::string entityKey(const FailureDomain &domain);
//! @copydoc entityKey
[[nodiscard]] std::string entityKey(const EntryHost &host);
//! @copydoc entityKey
[[nodiscard]] std::string entityKey(const HostName &host);
//! @copydoc entityKey
[[nodiscard]] std::string entityKey(const ClaimGroup &group);
//! @copydoc entityKey
[[nodiscard]] std::string entityKey(const Service &service);
//! @copydoc entityKey
[[nodiscard]] std::string entityKey(const Target &target);
//! @copydoc entityKey
[[nodiscard]] std::string entityKey(const Link &link);
//! @copydoc entityKey
[[nodiscard]] std::string entityKey(const ClientBlock &block);
//! @copydoc entityKey
[[nodiscard]] std::string entityKey(const ShiftCap &cap);
//! @copydoc entityKey
[[nodiscard]] std::string entityKey(const Drain &drain);

/**
 * @brief Computes the delta between two registers.
 * @param from The older register.
 * @param to The newer register.
 */
[[nodiscard]] RegisterDelta diffRegisters(const Register &from, const Register &to);

/**
 * @brief Applies a delta.
 * @param base The register to apply the delta to.
 * @param delta The delta.
 * @return The newer register; VersionConflict if the version of `base` is not delta.from, and
 * RegisterInvalid if the result violates a rule.
 */
[[nodiscard]] Result<Register> applyDelta(const Register &base, const RegisterDelta &delta);

/**
 * @brief Merges consecutive deltas into one with the same effect.
 * @param deltas Deltas in version order, without gaps; not empty.
 */
[[nodiscard]] RegisterDelta mergeDeltas(const std::vector<RegisterDelta> &deltas);

} // namespace ggv
