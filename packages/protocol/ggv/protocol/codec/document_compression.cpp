#include <ggv/protocol/codec/document_compression.hpp>

#include <ggv/state/core/error.hpp>

#include <algorithm>
#include <bit>
#include <memory>
#include <string>

#include <zstd.h>

namespace ggv {

namespace {

constexpr int CompressionLevel = 6;
constexpr int MinWindowLog = 10;
constexpr int MaxWindowLog = 27;

using CompressionContext = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using DecompressionContext = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

void throwOnError(std::size_t result)
{
    if (ZSTD_isError(result) != 0)
        throw Error(ResultCode::ProtocolViolation,
                    std::string("compressed document: ") + ZSTD_getErrorName(result));
}

// The window must span the base and the document, so that all of the base can be referenced.
int windowLog(std::size_t bytes)
{
    return std::clamp(static_cast<int>(std::bit_width(bytes)), MinWindowLog, MaxWindowLog);
}

std::size_t documentSize(ByteView compressed)
{
    const auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size > MaxDocumentBytes)
        throw Error(ResultCode::ProtocolViolation,
                    "compressed document: size is missing or exceeds "
                        + std::to_string(MaxDocumentBytes) + " bytes");
    return static_cast<std::size_t>(size);
}

} // namespace

Bytes compressDocument(ByteView document, ByteView base)
{
    const CompressionContext context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    throwOnError(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, CompressionLevel));
    throwOnError(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                                        windowLog(document.size() + base.size())));
    throwOnError(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1));
    throwOnError(ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size()));
    Bytes compressed(ZSTD_compressBound(document.size()));
    const std::size_t size = ZSTD_compress2(context.get(), compressed.data(), compressed.size(),
                                            document.data(), document.size());
    throwOnError(size);
    compressed.resize(size);
    return compressed;
}

Bytes decompressDocument(ByteView compressed, ByteView base)
{
    Bytes document(documentSize(compressed));
    const DecompressionContext context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    throwOnError(ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size()));
    const std::size_t size = ZSTD_decompressDCtx(context.get(), document.data(), document.size(),
                                                 compressed.data(), compressed.size());
    throwOnError(size);
    if (size != document.size())
        throw Error(ResultCode::ProtocolViolation, "compressed document: content is truncated");
    return document;
}

} // namespace ggv
