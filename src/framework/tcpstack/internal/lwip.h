#pragma once

// The library's locking functions have no prototype with C linkage in its own headers.
extern "C" {
void sys_check_core_locking(void);
void sys_lock_tcpip_core(void);
void sys_unlock_tcpip_core(void);
}

#include <lwip/ip4.h>
#include <lwip/netif.h>
#include <lwip/pbuf.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/tcp.h>
#include <lwip/tcpip.h>

namespace clementinesill::tcpstack {

// Holds lwIP's core lock, which every call of its raw interface needs.
class LwipLock {
public:
    LwipLock() { sys_lock_tcpip_core(); }
    ~LwipLock() { sys_unlock_tcpip_core(); }
    LwipLock(const LwipLock&) = delete;
    LwipLock& operator=(const LwipLock&) = delete;
};

} // namespace clementinesill::tcpstack
