#pragma once

// lwIP's headers declare these functions without C linkage.
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

// Holds lwIP's core lock, which is required for every call of its raw API.
class LwipLock {
public:
    LwipLock() { sys_lock_tcpip_core(); }
    ~LwipLock() { sys_unlock_tcpip_core(); }
    LwipLock(const LwipLock&) = delete;
    LwipLock& operator=(const LwipLock&) = delete;
};

} // namespace clementinesill::tcpstack
