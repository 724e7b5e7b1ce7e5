#pragma once

#include <ggv/protocol/message/claim_message.hpp>
#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace ggv {

//! Timing and bounds of a claim client.
struct ClaimClientOptions
{
    Duration resendAfter = std::chrono::milliseconds(500); //!< Wait for an answer to one sending.
    Duration notLeaderDelay = std::chrono::milliseconds(50); //!< Wait after "not leader".
    Duration settlementTimeout
        = std::chrono::seconds(60); //!< Completions and releases are tried this long.
    Duration probeInterval
        = std::chrono::milliseconds(500); //!< Longest time without news of the group's position.
    std::uint64_t maxPendingClaims = 10'000; //!< Claims that wait for an answer.
    std::uint64_t maxPendingSettlements
        = 10'000; //!< Completions and releases that wait for an answer.

    [[nodiscard]] auto operator<=>(const ClaimClientOptions &) const noexcept = default;
};

//! A call to send to a member of the claim group.
struct OutgoingClaimCall
{
    MemberId to = 0;
    ClaimCall call;

    [[nodiscard]] auto operator<=>(const OutgoingClaimCall &) const = default;
};

//! What became of a claim; given once for each.
struct ClaimNotification
{
    ClaimId claim;
    std::optional<ClaimOutcome> outcome; //!< Nothing: not known by the deadline; given up.

    [[nodiscard]] auto operator<=>(const ClaimNotification &) const = default;
};

//! Everything that the driver has to do after a call.
struct ClaimClientOutput
{
    std::vector<OutgoingClaimCall> outgoingCalls;
    std::vector<ClaimNotification> notifications;

    [[nodiscard]] auto operator<=>(const ClaimClientOutput &) const = default;
};

/**
 * @brief An entry host's side of one claim group: values in, values out, explicit clock.
 *
 * A command goes to the member that is believed to lead and is sent again, unchanged, to another
 * one until it is answered. A claim that is not answered by its deadline is given up: the client
 * reports so once, releases it and ignores every later answer to it, so that a late grant can
 * never lead to a byte being sent. Used from one thread.
 */
class ClaimClient
{
public:
    /**
     * @brief Creates a client.
     * @param process Random number that this process drew when it started; part of every ClaimId.
     * @param members Members of the claim group; while there are none, nothing is sent.
     * @param options Timing and bounds.
     */
    ClaimClient(std::uint64_t process, std::vector<MemberId> members,
                const ClaimClientOptions &options = {});
    ~ClaimClient();
    ClaimClient(const ClaimClient &) = delete;
    ClaimClient &operator=(const ClaimClient &) = delete;

    //! @param members Members of the claim group from now on.
    void setMembers(std::vector<MemberId> members);

    //! @return Newest known position of the group; note it when a request arrives.
    [[nodiscard]] std::uint64_t seenPosition() const noexcept;

    /**
     * @brief Asks for a claim.
     * @param request The claim; its ClaimId is set by the client.
     * @param deadline When the claim is given up.
     * @param now The current instant.
     * @return Its id; nothing if too many claims wait, and then nothing was sent.
     */
    [[nodiscard]] std::optional<ClaimId> claim(ClaimRequest request, Instant deadline, Instant now);
    //! Gives up a claim that has no answer yet; there will be no notice.
    void abandon(const ClaimId &claim, Instant now);
    //! Gives back a granted claim under which certainly no byte was sent.
    void release(const ClaimRelease &release, Instant now);
    //! Records the result of a granted claim.
    void complete(ClaimCompletion completion, Instant now);
    //! Handles an answer; one to an unknown or finished call is dropped.
    void receive(const ClaimCallAnswer &answer, Instant now);
    //! Lets time pass: repeats calls, gives claims up, keeps the known position fresh.
    void tick(Instant now);

    //! @return When tick() is needed next.
    [[nodiscard]] Instant nextDeadline() const noexcept;
    //! @return What to do; empties it.
    [[nodiscard]] ClaimClientOutput takeOutput();
    //! @return Number of calls that wait for an answer.
    [[nodiscard]] std::uint64_t pendingCalls() const noexcept;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
