#pragma once

#include <cstddef>

#include <malloc.h>

namespace ggv::test {

//! @return Number of bytes of the heap that the process has in use.
inline std::size_t heapBytes()
{
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace ggv::test
