#include <ggv/coordination/fleet/received_document.hpp>

#include <ggv/protocol/codec/document_digest.hpp>
#include <ggv/state/core/error.hpp>

namespace ggv {

bool ReceivedDocument::apply(const DocumentUpdate &update)
{
    if (update.version <= m_version)
        return false;
    if (documentDigest(update.content) != update.digest)
        throw Error(ResultCode::ProtocolViolation, "configuration document has another digest");
    m_bytes = update.content;
    m_version = update.version;
    return true;
}

} // namespace ggv
