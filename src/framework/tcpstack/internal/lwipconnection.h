#pragma once

#include "tcpstack/itcpconnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

struct pbuf;
struct tcp_pcb;

namespace clementinesill::tcpstack {

// One lwIP connection whose raw callbacks wake the task that awaits it.
//
// lwIP calls back with its core lock held: on the loop while a packet is fed, or on its own timer thread. Callbacks only
// move data under the lock and post the wake-up, so that tasks run on the loop alone.
class LwipConnection final : public ITcpConnection, public std::enable_shared_from_this<LwipConnection> {
public:
    // Takes over the pcb. The core lock must be held.
    static std::shared_ptr<LwipConnection> adopt(boost::asio::io_context& loop, tcp_pcb* pcb, Endpoint remote);

    ~LwipConnection() override;

    boost::asio::awaitable<std::size_t> readSome(std::span<std::byte> buffer) override;
    boost::asio::awaitable<void> write(std::span<const std::byte> bytes) override;
    void shutdownWrite() override;
    void abort() override;
    void close() override;
    Endpoint remote() const override { return m_remote; }
    void enableKeepalive(std::chrono::milliseconds idle, std::chrono::milliseconds interval, unsigned count) override;

    // Waits until an opening connection is established. Throws Error (Network).
    boost::asio::awaitable<void> connected();

    // Called by lwIP with the core lock held.
    void onConnected();
    void onReceived(pbuf* data);
    void onSent();
    void onError();

private:
    LwipConnection(boost::asio::io_context& loop, tcp_pcb* pcb, Endpoint remote);

    void wake();
    boost::asio::awaitable<void> changed();
    std::size_t takeReceived(std::span<std::byte> buffer);
    std::size_t queueForSending(std::span<const std::byte> bytes);
    void detach();

    boost::asio::io_context& m_loop;
    boost::asio::steady_timer m_changed;
    std::uint64_t m_changes = 0;
    Endpoint m_remote;

    // Guarded by the core lock.
    tcp_pcb* m_pcb;
    pbuf* m_received = nullptr;
    bool m_connected = false;
    bool m_receivedEnd = false;
    bool m_failed = false;
    bool m_wakePosted = false;
};

} // namespace clementinesill::tcpstack
