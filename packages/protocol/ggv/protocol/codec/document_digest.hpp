#pragma once

#include <ggv/state/storage/disk.hpp>

#include <cstdint>

namespace ggv {

//! @return Digest by which hosts verify that they hold the same configuration document.
[[nodiscard]] std::uint64_t documentDigest(ByteView document) noexcept;

} // namespace ggv
