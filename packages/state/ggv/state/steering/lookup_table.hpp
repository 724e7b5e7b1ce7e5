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

//! How long callers may use an answer; an entry host that leaves serves at least this long.
inline constexpr Duration LookupLifetime = std::chrono::seconds(5);
//! Most entry hosts in one answer.
inline constexpr std::size_t MaximumLookupHosts = 8;
//! Hosts of an answer that share the caller's requests while none of them fails.
inline constexpr std::size_t MaximumPreferredHosts = 3;
//! Weight of a preferred host; the others have weight 0.
inline constexpr std::uint32_t PreferredWeight = 100;
//! One-way delay at which a region gets half the weight of the client's own region.
inline constexpr Duration HalfWeightDelay = std::chrono::milliseconds(10);
//! Share of a domain's hosts that can serve all of the domain's clients.
inline constexpr double SufficientLiveShare = 0.5;

//! What one host of the system knows besides the register when it builds the table.
struct LookupContext
{
    std::vector<HostName> unavailable; //!< Leaving or unreachable according to membership.
    FailureDomainName
        defaultDomain; //!< Nearest domain of clients that are in no block; may be empty.
    UnixMillis now = 0; //!< Decides how far planned drains have progressed.

    [[nodiscard]] auto operator<=>(const LookupContext &) const = default;
};

//! A caller's question.
struct LookupQuery
{
    ServiceName service;
    std::optional<IpAddress> client; //!< Nothing if unknown.
    std::uint64_t random = 0; //!< Drawn anew for each answer; spreads callers over hosts.
};

//! One entry host of an answer.
struct LookupHost
{
    const EntryHost *host = nullptr; //!< Lives as long as the table.
    std::uint32_t weight = 0; //!< Share of requests; 0: only after all hosts before it failed.

    [[nodiscard]] auto operator<=>(const LookupHost &) const = default;
};

//! Entry hosts for a caller, the best first.
class LookupAnswer
{
public:
    //! @return The hosts in the order in which the caller should try them.
    [[nodiscard]] std::span<const LookupHost> hosts() const noexcept
    {
        return { m_hosts.data(), m_size };
    }

    //! @return How long the caller may use the answer.
    [[nodiscard]] Duration lifetime() const noexcept { return LookupLifetime; }

    //! @return True if no further host fits.
    [[nodiscard]] bool full() const noexcept { return m_size == MaximumLookupHosts; }

    /**
     * @brief Appends a host unless it is listed already or the answer is full.
     * @param host The host.
     * @param weight Its weight.
     * @return True if the host was appended.
     */
    bool append(const EntryHost *host, std::uint32_t weight) noexcept;

private:
    std::array<LookupHost, MaximumLookupHosts> m_hosts;
    std::size_t m_size = 0;
};

/**
 * @brief The immutable table that answers look-ups.
 *
 * Callers of a failure domain are sent to its own entry hosts. If too few of these are left, the
 * missing share goes to the hosts of all other domains, by weights that fall with link delay, so
 * that the loss of one domain does not overload its neighbour. Copies share their content.
 */
class LookupTable
{
public:
    /**
     * @brief Builds the table.
     * @param current The register in force.
     * @param view What this host knows besides.
     * @param previous Table whose client block index is shared if the blocks are unchanged; or
     * null.
     * @return The table.
     */
    [[nodiscard]] static LookupTable create(const Register &current, const LookupContext &view,
                                            const LookupTable *previous = nullptr);

    /**
     * @brief Answers a look-up; thread-safe and without a lock.
     * @param query The question.
     * @return The answer; NoSuchService, or NoWorkingTarget if no entry host is available.
     */
    [[nodiscard]] Result<LookupAnswer> lookUp(const LookupQuery &query) const;

    //! @return True if both tables use the same client block index.
    [[nodiscard]] bool sharesBlocksWith(const LookupTable &other) const noexcept;

    //! @return Memory of the client block index.
    [[nodiscard]] std::size_t blockIndexBytes() const noexcept;

private:
    class Data;
    explicit LookupTable(std::shared_ptr<const Data> data);

    std::shared_ptr<const Data> m_data;
};

} // namespace ggv
