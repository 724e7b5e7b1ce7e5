#pragma once

#include <ggv/state/storage/disk.hpp>

#include <cstddef>

namespace ggv {

//! Largest document that decompressDocument() accepts, in bytes.
inline constexpr std::size_t MaxDocumentBytes = std::size_t { 64 } * 1024 * 1024;

/**
 * @brief Compresses a document relative to another one.
 * @param document The document.
 * @param base Document that the receiver holds; parts that occur in both cost almost nothing. May
 * be empty.
 * @return The compressed document.
 */
[[nodiscard]] Bytes compressDocument(ByteView document, ByteView base);

/**
 * @brief Restores a compressed document.
 * @param compressed Result of compressDocument().
 * @param base The same base document.
 * @return The document; the caller must verify its digest, because another base may give another
 * document.
 * @throws Error ProtocolViolation if the bytes are malformed or the document is too large.
 */
[[nodiscard]] Bytes decompressDocument(ByteView compressed, ByteView base);

} // namespace ggv
