#pragma once

#include "tcpstack/itcpconnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

struct pbuf;
struct tcp_pcb;

namespace clementinesill::tcpstack {

// An lwIP connection whose raw API callbacks resume the coroutine that waits for it.
//
// lwIP invokes callbacks with its core lock held, on the event loop while it processes a packet or on its timer thread.
// Callbacks only move data under the lock and post a wake-up to the event loop, so that coroutines run on the loop only.
class LwipConnection final : public ITcpConnection, public std::enable_shared_from_this<LwipConnection> {
public:
    // Takes ownership of the pcb. The core lock must be held.
    static std::shared_ptr<LwipConnection> adopt(boost::asio::io_context& loop, tcp_pcb* pcb, Endpoint remote);

    ~LwipConnection() override;

    boost::asio::awaitable<std::size_t> readSome(std::span<std::byte> buffer) override;
    boost::asio::awaitable<void> write(std::span<const std::byte> bytes) override;
    void shutdownWrite() override;
    void abort() override;
    void close() override;
    Endpoint remote() const override { return m_remote; }
    void enableKeepalive(std::chrono::milliseconds idle, std::chrono::milliseconds interval, unsigned count) override;

    // Waits until the connection is established. Throws Error (Network) if it is refused or times out.
    boost::asio::awaitable<void> waitUntilConnected();

    // Called by lwIP with the core lock held.
    void onConnected();
    void onReceived(pbuf* data);
    void onSent();
    void onError();

private:
    LwipConnection(boost::asio::io_context& loop, tcp_pcb* pcb, Endpoint remote);

    void wake();
    boost::asio::awaitable<void> waitForChange();
    std::size_t takeReceived(std::span<std::byte> buffer);
    std::size_t queueForSending(std::span<const std::byte> bytes);
    void detach();

    boost::asio::io_context& m_loop;
    boost::asio::steady_timer m_changeTimer;
    std::uint64_t m_changes = 0;
    Endpoint m_remote;

    // Guarded by the core lock.
    tcp_pcb* m_pcb;
    pbuf* m_received = nullptr;
    bool m_connected = false;
    bool m_receivedFin = false;
    bool m_failed = false;
    bool m_wakePosted = false;
};

} // namespace clementinesill::tcpstack
