#include "tcpstack/internal/lwipconnection.h"

#include "foundation/error.h"
#include "tcpstack/internal/lwip.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace clementinesill::tcpstack {

namespace asio = boost::asio;

namespace {

[[noreturn]] void throwConnectionLost()
{
    throw Error(ErrorKind::Network, "the connection was reset or aborted", "open a new connection");
}

err_t received(void* argument, tcp_pcb*, pbuf* data, err_t)
{
    static_cast<LwipConnection*>(argument)->onReceived(data);
    return ERR_OK;
}

err_t sent(void* argument, tcp_pcb*, u16_t)
{
    static_cast<LwipConnection*>(argument)->onSent();
    return ERR_OK;
}

void failed(void* argument, err_t)
{
    static_cast<LwipConnection*>(argument)->onError();
}

} // namespace

LwipConnection::LwipConnection(asio::io_context& loop, tcp_pcb* pcb, Endpoint remote)
    : m_loop(loop)
    , m_changeTimer(loop, asio::steady_timer::time_point::max())
    , m_remote(remote)
    , m_pcb(pcb)
{
}

std::shared_ptr<LwipConnection> LwipConnection::adopt(asio::io_context& loop, tcp_pcb* pcb, Endpoint remote)
{
    std::shared_ptr<LwipConnection> connection(new LwipConnection(loop, pcb, remote));
    tcp_arg(pcb, connection.get());
    tcp_recv(pcb, received);
    tcp_sent(pcb, sent);
    tcp_err(pcb, failed);
    tcp_nagle_disable(pcb);
    return connection;
}

LwipConnection::~LwipConnection()
{
    const LwipLock lock;
    if (m_received)
        pbuf_free(m_received);
    if (!m_pcb)
        return;
    auto* pcb = m_pcb;
    detach();
    tcp_abort(pcb);
}

void LwipConnection::detach()
{
    tcp_arg(m_pcb, nullptr);
    tcp_recv(m_pcb, nullptr);
    tcp_sent(m_pcb, nullptr);
    tcp_err(m_pcb, nullptr);
    m_pcb = nullptr;
}

void LwipConnection::onConnected()
{
    m_connected = true;
    wake();
}

void LwipConnection::onReceived(pbuf* data)
{
    if (!data)
        m_receivedFin = true;
    else if (m_received)
        pbuf_cat(m_received, data);
    else
        m_received = data;
    wake();
}

void LwipConnection::onSent()
{
    wake();
}

void LwipConnection::onError()
{
    // lwIP has already freed the pcb.
    m_pcb = nullptr;
    m_failed = true;
    wake();
}

void LwipConnection::wake()
{
    if (m_wakePosted)
        return;
    m_wakePosted = true;
    asio::post(m_loop, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        {
            const LwipLock lock;
            self->m_wakePosted = false;
        }
        ++self->m_changes;
        self->m_changeTimer.cancel();
    });
}

asio::awaitable<void> LwipConnection::waitForChange()
{
    boost::system::error_code cancelled;
    co_await m_changeTimer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    if ((co_await asio::this_coro::cancellation_state).cancelled() != asio::cancellation_type::none)
        throwConnectionLost();
}

asio::awaitable<void> LwipConnection::waitUntilConnected()
{
    while (true) {
        {
            const LwipLock lock;
            if (m_failed)
                throw Error(ErrorKind::Network, "the connection to " + format(m_remote) + " was refused or timed out", "check that the service has backend servers");
            if (m_connected)
                co_return;
        }
        co_await waitForChange();
    }
}

std::size_t LwipConnection::takeReceived(std::span<std::byte> buffer)
{
    const auto length = static_cast<u16_t>(std::min<std::size_t>({ buffer.size(), m_received->tot_len, UINT16_MAX }));
    pbuf_copy_partial(m_received, buffer.data(), length, 0);
    m_received = pbuf_free_header(m_received, length);
    if (m_pcb)
        tcp_recved(m_pcb, length);
    return length;
}

asio::awaitable<std::size_t> LwipConnection::readSome(std::span<std::byte> buffer)
{
    while (true) {
        {
            const LwipLock lock;
            if (m_received)
                co_return takeReceived(buffer);
            if (m_failed)
                throwConnectionLost();
            if (m_receivedFin)
                co_return 0;
        }
        co_await waitForChange();
    }
}

std::size_t LwipConnection::queueForSending(std::span<const std::byte> bytes)
{
    if (m_failed || !m_pcb)
        throwConnectionLost();
    const auto room = std::min<std::size_t>({ bytes.size(), tcp_sndbuf(m_pcb), UINT16_MAX });
    if (!room)
        return 0;
    if (tcp_write(m_pcb, bytes.data(), static_cast<u16_t>(room), TCP_WRITE_FLAG_COPY) != ERR_OK)
        return 0;
    tcp_output(m_pcb);
    return room;
}

asio::awaitable<void> LwipConnection::write(std::span<const std::byte> bytes)
{
    while (true) {
        {
            const LwipLock lock;
            bytes = bytes.subspan(queueForSending(bytes));
        }
        if (bytes.empty())
            co_return;
        co_await waitForChange();
    }
}

void LwipConnection::shutdownWrite()
{
    const LwipLock lock;
    if (m_pcb)
        tcp_shutdown(m_pcb, 0, 1);
}

void LwipConnection::abort()
{
    const LwipLock lock;
    m_failed = true;
    wake();
    if (!m_pcb)
        return;
    auto* pcb = m_pcb;
    detach();
    tcp_abort(pcb);
}

void LwipConnection::close()
{
    const LwipLock lock;
    if (!m_pcb)
        return;
    auto* pcb = m_pcb;
    detach();
    if (tcp_close(pcb) != ERR_OK)
        tcp_abort(pcb);
}

void LwipConnection::enableKeepalive(std::chrono::milliseconds idle, std::chrono::milliseconds interval, unsigned count)
{
    const LwipLock lock;
    if (!m_pcb)
        return;
    m_pcb->so_options |= SOF_KEEPALIVE;
    m_pcb->keep_idle = static_cast<u32_t>(idle.count());
    m_pcb->keep_intvl = static_cast<u32_t>(interval.count());
    m_pcb->keep_cnt = count;
}

} // namespace clementinesill::tcpstack
