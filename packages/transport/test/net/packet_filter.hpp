#pragma once

#include <linux/filter.h>
#include <sys/socket.h>

namespace ggv::test {

//! Discards all packets that arrive for a socket, as a broken link would, or stops doing so. On a
//! listening socket, new connections hang.
inline void dropPackets(int socket, bool isDropping)
{
    sock_filter dropAll { BPF_RET | BPF_K, 0, 0, 0 };
    const sock_fprog program { 1, &dropAll };
    const int option = isDropping ? SO_ATTACH_FILTER : SO_DETACH_FILTER;
    ::setsockopt(socket, SOL_SOCKET, option, &program, sizeof program);
}

} // namespace ggv::test
