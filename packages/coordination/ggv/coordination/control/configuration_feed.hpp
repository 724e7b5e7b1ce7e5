#pragma once

#include <ggv/protocol/message/peer_message.hpp>
#include <ggv/state/model/register.hpp>

#include <deque>
#include <memory>
#include <optional>

namespace ggv {

/**
 * @brief The newest register known to a host, with the recent deltas that lead to it.
 *
 * Versions never decrease. The register is in force only after the control leader has confirmed, in
 * reply to a request of this process, that no newer version had been accepted: a restarted process
 * does not know which version it had in force before.
 */
class ConfigurationFeed
{
public:
    //! Number of deltas that are retained for hosts that lag slightly.
    static constexpr std::size_t MaxRetainedDeltas = 1024;
    //! Size up to which deltas are retained, in bytes; others get the complete register.
    static constexpr std::size_t MaxRetainedBytes = std::size_t { 8 } * 1024 * 1024;

    //! Creates the feed with an empty register.
    ConfigurationFeed();

    /**
     * @brief Applies an accepted register.
     * @param content The register; ignored unless it is newer than the known one.
     * @param delta The encoded change from the previous version, or empty.
     * @return True if the register was newer.
     */
    bool accept(std::shared_ptr<const Register> content, ByteView delta);
    /**
     * @brief Applies an update from another host.
     * @param update A complete register or a delta; ignored unless it leads to a newer version and,
     * for a delta, starts at the known one.
     * @return True if the register was updated.
     * @throws Error ProtocolViolation or RegisterInvalid.
     */
    bool accept(const ConfigurationUpdate &update);
    //! Records that no version newer than this one had been accepted when this process asked.
    void confirm(RegisterVersion version);

    //! Returns the newest known register; version 0 if none was received yet.
    [[nodiscard]] const std::shared_ptr<const Register> &newest() const noexcept;
    //! Returns the register in force, or null if none is confirmed.
    [[nodiscard]] std::shared_ptr<const Register> inForce() const noexcept;
    //! Returns the total size of the retained deltas, in bytes.
    [[nodiscard]] std::size_t retainedBytes() const noexcept { return m_retainedBytes; }
    //! Returns the update from a version to the newest one, or std::nullopt if the version is not
    //! older.
    [[nodiscard]] std::optional<ConfigurationUpdate> updateFor(RegisterVersion version) const;

private:
    struct RetainedDelta
    {
        RegisterVersion to = 0;
        Bytes delta;
    };

    void retain(RegisterVersion to, ByteView delta);
    [[nodiscard]] std::optional<Bytes> mergedDelta(RegisterVersion from) const;

    std::shared_ptr<const Register> m_newest;
    std::deque<RetainedDelta> m_deltas; //!< Consecutive; the last one leads to m_newest.
    std::size_t m_retainedBytes = 0; //!< Total size of m_deltas.
    std::optional<RegisterVersion> m_confirmed;
};

} // namespace ggv
