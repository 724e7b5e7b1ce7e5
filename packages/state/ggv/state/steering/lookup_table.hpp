#pragma once

#include <ggv/state/model/ip_address.hpp>
#include <ggv/state/model/register.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace ggv {

//! Lifetime of an answer; an entry host that leaves continues to serve for at least this long.
inline constexpr Duration LookupLifetime = std::chrono::seconds(5);
//! Maximum number of entry hosts in an answer.
inline constexpr std::size_t MaximumLookupHosts = 8;
//! Number of hosts in an answer that share the caller's requests while none of them fails.
inline constexpr std::size_t MaximumPreferredHosts = 3;
//! Weight of a preferred host; all other hosts have weight 0.
inline constexpr std::uint32_t PreferredWeight = 100;
//! One-way delay at which a region has half the weight of the client's own region.
inline constexpr Duration HalfWeightDelay = std::chrono::milliseconds(10);
//! Share of a domain's hosts that is sufficient to serve all of the domain's clients.
inline constexpr double SufficientLiveShare = 0.5;

//! Inputs for building the table that are not part of the register.
struct LookupContext
{
    std::vector<HostName> unavailable; //!< Hosts that are leaving or unreachable according to
                                       //!< the membership.
    FailureDomainName
        defaultDomain; //!< Nearest domain for clients outside all blocks; may be empty.
    UnixMillis now = 0; //!< Determines the progress of planned drains.

    [[nodiscard]] auto operator<=>(const LookupContext &) const = default;
};

//! A caller's look-up request.
struct LookupQuery
{
    ServiceName service;
    std::optional<IpAddress> client; //!< std::nullopt if unknown.
    std::uint64_t random = 0; //!< Drawn for each look-up; distributes callers over hosts.
};

//! An entry host in an answer.
struct LookupHost
{
    const EntryHost *host = nullptr; //!< Valid for the lifetime of the table.
    std::uint32_t weight = 0; //!< Relative share of requests; 0: used only after all preceding
                              //!< hosts failed.

    [[nodiscard]] auto operator<=>(const LookupHost &) const = default;
};

//! Entry hosts for a caller, best first.
class LookupAnswer
{
public:
    //! @return The hosts in the order of preference.
    [[nodiscard]] std::span<const LookupHost> hosts() const noexcept
    {
        return { m_hosts.data(), m_size };
    }

    //! @return Time for which the caller may use the answer.
    [[nodiscard]] Duration lifetime() const noexcept { return LookupLifetime; }

    //! @return True if no further host can be appended.
    [[nodiscard]] bool full() const noexcept { return m_size == MaximumLookupHosts; }

    /**
     * @brief Appends a host unless it is already listed or the answer is full.
     * @return True if the host was appended.
     */
    bool append(const EntryHost *host, std::uint32_t weight) noexcept;

private:
    std::array<LookupHost, MaximumLookupHosts> m_hosts;
    std::size_t m_size = 0;
};

/**
 * @brief Immutable table for answering look-ups.
 *
 * Callers of a failure domain are directed to its own entry hosts. If too few of these are
 * available, the missing share goes to the hosts of all other domains, with weights that decrease
 * with link delay, so that the loss of one domain does not overload its neighbour. Copies share
 * their content.
 */
class LookupTable
{
public:
    /**
     * @brief Builds the table.
     * @param current The register in force.
     * @param context Inputs that are not part of the register.
     * @param previous Table whose client block index is reused if the blocks are unchanged; may be
     * null.
     */
    [[nodiscard]] static LookupTable create(const Register &current, const LookupContext &context,
                                            const LookupTable *previous = nullptr);

    /**
     * @brief Answers a look-up; thread-safe and lock-free.
     * @return The answer; NoSuchService, or NoWorkingTarget if no entry host is available.
     */
    [[nodiscard]] Result<LookupAnswer> lookUp(const LookupQuery &query) const;

    //! @return True if both tables use the same client block index.
    [[nodiscard]] bool sharesBlocksWith(const LookupTable &other) const noexcept;

    //! @return Heap memory used by the client block index, in bytes.
    [[nodiscard]] std::size_t blockIndexBytes() const noexcept;

private:
    class Data;
    explicit LookupTable(std::shared_ptr<const Data> data);

    std::shared_ptr<const Data> m_data;
};

} // namespace ggv
