#include <ggv/protocol/codec/document_digest.hpp>

#include <xxhash.h>

namespace ggv {

std::uint64_t documentDigest(ByteView document) noexcept
{
    return XXH3_64bits(document.data(), document.size());
}

} // namespace ggv
