#pragma once

#include <ggv/protocol/message/peer_message.hpp>
#include <ggv/state/model/register.hpp>

#include <deque>
#include <memory>
#include <optional>

namespace ggv {

/**
 * @brief The newest register that a host knows and the changes that led to it.
 *
 * Never goes back to an older version. The register is in force only once the control leader has
 * confirmed, after this process asked, that nothing newer had been accepted: a process that has
 * restarted cannot know which version it had in force before.
 */
class ConfigurationFeed
{
public:
    //! Changes that are kept for hosts that are a little behind.
    static constexpr std::size_t MaxRetainedDeltas = 1024;

    //! Starts with the empty register.
    ConfigurationFeed();

    /**
     * @brief Takes a register that was accepted.
     * @param content The register; ignored if it is not newer.
     * @param delta The change from the version before, or empty.
     * @return True if it was newer.
     */
    bool accept(std::shared_ptr<const Register> content, ByteView delta);
    /**
     * @brief Takes an update from another host.
     * @return True if it was newer.
     * @throws Error ProtocolViolation or RegisterInvalid.
     */
    bool accept(const ConfigurationUpdate &update);
    //! Notes that nothing newer than a version had been accepted when this process asked.
    void confirm(RegisterVersion version);

    //! @return The newest register that is known.
    [[nodiscard]] const std::shared_ptr<const Register> &newest() const noexcept;
    //! @return The register in force, or null before the first confirmation.
    [[nodiscard]] std::shared_ptr<const Register> inForce() const noexcept;
    //! @return What brings a host at that version up to date; nothing if it is.
    [[nodiscard]] std::optional<ConfigurationUpdate> updateFor(RegisterVersion version) const;

private:
    struct RetainedDelta
    {
        RegisterVersion to = 0;
        Bytes delta;
    };

    [[nodiscard]] std::optional<Bytes> mergedDelta(RegisterVersion from) const;

    std::shared_ptr<const Register> m_newest;
    std::deque<RetainedDelta> m_deltas; //!< Consecutive, the last one leads to m_newest.
    std::optional<RegisterVersion> m_confirmed;
};

} // namespace ggv
