#pragma once

#include <ggv/state/model/register.hpp>

#include <string>
#include <vector>

namespace ggv {

/**
 * @brief Entities to add or replace, and keys to remove, of one kind.
 * @tparam Entity The kind.
 */
template <typename Entity>
struct EntityDelta
{
    std::vector<Entity> put;
    std::vector<std::string> remove; //!< Keys as given by entityKey().

    [[nodiscard]] auto operator<=>(const EntityDelta &) const = default;
};

//! The difference between two versions of the register.
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
    std::string platformListUrl; //!< As in the newer version.

    [[nodiscard]] auto operator<=>(const RegisterDelta &) const = default;
};

//! @return The key that identifies an entity among those of its kind.
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
 * @brief Computes what changed.
 * @param from The older register.
 * @param to The newer register.
 * @return The delta.
 */
[[nodiscard]] RegisterDelta diffRegisters(const Register &from, const Register &to);

/**
 * @brief Applies a delta.
 * @param base The register that the delta starts from.
 * @param delta The delta.
 * @return The newer register; VersionConflict if base is not the delta's version.
 */
[[nodiscard]] Result<Register> applyDelta(const Register &base, const RegisterDelta &delta);

/**
 * @brief Joins consecutive deltas.
 * @param deltas In version order, without gaps; not empty.
 * @return One delta with the same effect.
 */
[[nodiscard]] RegisterDelta mergeDeltas(const std::vector<RegisterDelta> &deltas);

} // namespace ggv
