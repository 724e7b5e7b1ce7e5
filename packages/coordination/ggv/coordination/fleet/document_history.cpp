#include <ggv/coordination/fleet/document_history.hpp>

#include <ggv/protocol/codec/document_compression.hpp>
#include <ggv/protocol/codec/document_digest.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

void DocumentHistory::add(std::uint64_t version, const Bytes &document)
{
    if (version <= m_newest.version)
        return;
    if (m_newest.version != 0)
        m_bases.push_back(std::move(m_newest));
    m_newest = { version, document };
    m_updates.clear();
    removeOldBases();
}

void DocumentHistory::removeOldBases()
{
    std::size_t bytes = 0;
    for (const auto &it : m_bases)
        bytes += it.bytes.size();
    while (!m_bases.empty() && (m_bases.size() > MaxBaseDocuments || bytes > MaxBaseBytes)) {
        bytes -= m_bases.front().bytes.size();
        m_bases.pop_front();
    }
}

std::size_t DocumentHistory::documentBytes() const noexcept
{
    std::size_t bytes = m_newest.bytes.size();
    for (const auto &it : m_bases)
        bytes += it.bytes.size();
    return bytes;
}

std::size_t DocumentHistory::updateBytes() const noexcept
{
    std::size_t bytes = 0;
    for (const auto &[heldVersion, update] : m_updates)
        bytes += update.content.size();
    return bytes;
}

const DocumentUpdate &DocumentHistory::updateFrom(std::uint64_t heldVersion)
{
    const auto it = m_updates.find(heldVersion);
    if (it != m_updates.end())
        return it->second;
    const auto base
        = std::find_if(m_bases.begin(), m_bases.end(),
                       [heldVersion](const auto &known) { return known.version == heldVersion; });
    // Receivers with an unknown version share the complete update.
    const std::uint64_t key = base == m_bases.end() ? 0 : heldVersion;
    return m_updates.try_emplace(key, makeUpdate(key)).first->second;
}

DocumentUpdate DocumentHistory::makeUpdate(std::uint64_t heldVersion) const
{
    ByteView base;
    for (const auto &it : m_bases) {
        if (it.version == heldVersion)
            base = it.bytes;
    }
    return { m_newest.version, heldVersion, documentDigest(m_newest.bytes),
             compressDocument(m_newest.bytes, base) };
}

} // namespace ggv
