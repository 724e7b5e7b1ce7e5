#pragma once

#include <ggv/protocol/message/fleet_message.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace ggv {

/**
 * @brief Newest configuration document and the earlier ones that receivers may still hold.
 *
 * Makes the update that a receiver needs: relative to the version that it holds if that is
 * retained, else complete. Does no I/O.
 */
class DocumentHistory
{
public:
    //! Number of earlier documents that are retained.
    static constexpr std::size_t MaxBaseDocuments = 64;
    //! Size up to which earlier documents are retained, in bytes.
    static constexpr std::size_t MaxBaseBytes = std::size_t { 16 } * 1024 * 1024;

    //! Adds an accepted document; ignored unless its version is newer.
    void add(std::uint64_t version, const Bytes &document);
    //! @return Version of the newest document; 0 if there is none.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_newest.version; }
    //! @return Total size of the retained documents, in bytes.
    [[nodiscard]] std::size_t documentBytes() const noexcept;
    //! @return Total size of the retained updates, in bytes.
    [[nodiscard]] std::size_t updateBytes() const noexcept;
    //! @return The update to the newest document for a receiver that holds the given version.
    [[nodiscard]] const DocumentUpdate &updateFrom(std::uint64_t heldVersion);

private:
    struct VersionedDocument
    {
        std::uint64_t version = 0;
        Bytes bytes;
    };

    [[nodiscard]] DocumentUpdate makeUpdate(std::uint64_t heldVersion) const;
    void removeOldBases();

    VersionedDocument m_newest;
    std::deque<VersionedDocument> m_bases; //!< Earlier documents, newest last.
    std::map<std::uint64_t, DocumentUpdate> m_updates; //!< To m_newest, by held version.
};

} // namespace ggv
