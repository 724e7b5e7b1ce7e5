#pragma once

#include <ggv/protocol/message/claim_message.hpp>
#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace ggv {

//! Timing and limits of a claim client.
struct ClaimClientOptions
{
    Duration resendAfter = std::chrono::milliseconds(500); //!< Time-out of one attempt.
    Duration notLeaderDelay = std::chrono::milliseconds(50); //!< Resend delay after "not leader".
    //! Time after which completions and releases are no longer resent.
    Duration settlementTimeout = std::chrono::seconds(60);
    //! Time without a successful reply after which the position is probed.
    Duration probeInterval = std::chrono::milliseconds(500);
    std::uint64_t maxPendingClaims = 10'000; //!< Maximum number of claims without a reply.
    std::uint64_t maxPendingSettlements = 10'000; //!< Maximum number of other calls without reply.

    [[nodiscard]] auto operator<=>(const ClaimClientOptions &) const noexcept = default;
};

//! Call to be sent to a member of the claim group.
struct OutgoingClaimCall
{
    MemberId to = 0;
    ClaimCall call;

    [[nodiscard]] auto operator<=>(const OutgoingClaimCall &) const = default;
};

//! Outcome of a claim; reported once per claim.
struct ClaimNotification
{
    ClaimId claim;
    std::optional<ClaimOutcome> outcome; //!< std::nullopt if it was unknown at the deadline.

    [[nodiscard]] auto operator<=>(const ClaimNotification &) const = default;
};

//! Actions that the caller has to perform after calling the client.
struct ClaimClientOutput
{
    std::vector<OutgoingClaimCall> outgoingCalls;
    std::vector<ClaimNotification> notifications;

    [[nodiscard]] auto operator<=>(const ClaimClientOutput &) const = default;
};

/**
 * @brief Client of one claim group on an entry host. Performs no I/O and reads no clock; used from
 * one thread.
 *
 * A command is sent to the presumed leader and resent unchanged, to another member after a
 * time-out, until a reply arrives. A claim without a reply at its deadline is abandoned: the client
 * reports this once, releases the claim and ignores all later replies to it, so that a late grant
 * never causes a request to be sent.
 */
class ClaimClient
{
public:
    /**
     * @brief Creates a client.
     * @param claimant ClaimId::host of all claims; unique among all processes.
     * @param members Members of the claim group; while the list is empty, nothing is sent.
     * @param options Timing and limits.
     */
    ClaimClient(std::uint64_t claimant, std::vector<MemberId> members,
                const ClaimClientOptions &options = {});
    ~ClaimClient();
    ClaimClient(const ClaimClient &) = delete;
    ClaimClient &operator=(const ClaimClient &) = delete;

    //! @param members New members of the claim group.
    void setMembers(std::vector<MemberId> members);

    //! @return Latest known position of the group; to be recorded when a request arrives.
    [[nodiscard]] std::uint64_t seenPosition() const noexcept;

    /**
     * @brief Requests a claim.
     * @param request The claim request; its ClaimId is set by the client.
     * @param deadline Time at which the claim is abandoned.
     * @param now Current time.
     * @return Id of the claim; std::nullopt if too many claims are pending and nothing was sent.
     */
    [[nodiscard]] std::optional<ClaimId> claim(ClaimRequest request, Instant deadline, Instant now);
    //! Abandons a claim that has no reply yet; its outcome is not reported.
    void abandon(const ClaimId &claim, Instant now);
    //! Releases a granted claim for which no byte was sent to a target.
    void release(const ClaimRelease &release, Instant now);
    //! Records the result of a granted claim.
    void complete(ClaimCompletion completion, Instant now);
    //! Handles a reply; replies to unknown or finished calls are ignored.
    void receive(const ClaimCallAnswer &answer, Instant now);
    //! Advances timers: resends calls, abandons claims at their deadline, probes for the position.
    void tick(Instant now);

    //! @return Time at which tick() has to be called next.
    [[nodiscard]] Instant nextDeadline() const noexcept;
    //! @return Accumulated output, which is cleared.
    [[nodiscard]] ClaimClientOutput takeOutput();
    //! @return Number of calls without a reply.
    [[nodiscard]] std::uint64_t pendingCalls() const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
