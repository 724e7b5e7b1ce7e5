#include <ggv/coordination/fleet/received_document.hpp>

#include <ggv/protocol/codec/document_compression.hpp>
#include <ggv/protocol/codec/document_digest.hpp>
#include <ggv/state/core/error.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

bool ReceivedDocument::apply(const DocumentUpdate &update)
{
    if (update.version < m_version || update.version == m_heldVersion)
        return false;
    try {
        m_bytes = restore(update);
    } catch (const Error &) {
        m_heldVersion = 0;
        m_bytes.clear();
        throw;
    }
    m_heldVersion = update.version;
    return std::exchange(m_version, update.version) < update.version;
}

Bytes ReceivedDocument::restore(const DocumentUpdate &update) const
{
    if (update.baseVersion != 0 && update.baseVersion != m_heldVersion)
        throw Error(ResultCode::ProtocolViolation, "configuration update for another base version");
    const ByteView base = update.baseVersion == 0 ? ByteView() : ByteView(m_bytes);
    Bytes document = decompressDocument(update.content, base);
    if (documentDigest(document) != update.digest)
        throw Error(ResultCode::ProtocolViolation, "configuration document has another digest");
    return document;
}

} // namespace ggv
