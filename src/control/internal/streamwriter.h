#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <grpcpp/grpcpp.h>
#include <memory>

namespace clementinesill::control {

// Adapts a server stream of the gRPC callback API to a coroutine on the control thread. All functions except the On*
// callbacks are called on that thread.
template <typename Message>
class StreamWriter final : public grpc::ServerWriteReactor<Message> {
public:
    // The writer is destroyed when gRPC has called OnDone() and the coroutine has released its reference.
    static std::shared_ptr<StreamWriter> create(boost::asio::io_context& context)
    {
        std::shared_ptr<StreamWriter> writer(new StreamWriter(context));
        writer->m_self = writer;
        return writer;
    }

    bool ended() const { return m_ended; }

    // Completes when the message is written. Returns false if the stream has ended.
    boost::asio::awaitable<bool> write(std::shared_ptr<const Message> message)
    {
        if (m_ended)
            co_return false;
        m_writing = true;
        m_message = std::move(message);
        this->StartWrite(m_message.get());
        while (m_writing)
            co_await wait(boost::asio::steady_timer::duration::max());
        co_return !m_ended;
    }

    // Waits until wake(), the end of the stream or the end of the duration.
    boost::asio::awaitable<void> sleep(boost::asio::steady_timer::duration duration)
    {
        if (!m_wakePending && !m_ended)
            co_await wait(duration);
        m_wakePending = false;
    }

    // Ends the current sleep, or the next one if there is none.
    void wake()
    {
        m_wakePending = true;
        m_timer.cancel();
    }

    // Ends the stream with the status; no write may be in progress.
    void finish(const grpc::Status& status)
    {
        m_ended = true;
        this->Finish(status);
    }

    void OnWriteDone(bool ok) override
    {
        boost::asio::post(m_context, [self = m_self, ok] {
            self->m_writing = false;
            self->m_ended |= !ok;
            self->m_timer.cancel();
        });
    }

    void OnCancel() override
    {
        boost::asio::post(m_context, [self = m_self] {
            self->m_ended = true;
            self->m_timer.cancel();
        });
    }

    void OnDone() override
    {
        auto self = std::move(m_self);
        boost::asio::post(m_context, [self = std::move(self)] {});
    }

private:
    explicit StreamWriter(boost::asio::io_context& context)
        : m_context(context)
        , m_timer(context)
    {
    }

    boost::asio::awaitable<void> wait(boost::asio::steady_timer::duration duration)
    {
        if (duration == boost::asio::steady_timer::duration::max())
            m_timer.expires_at(boost::asio::steady_timer::time_point::max());
        else
            m_timer.expires_after(duration);
        co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    boost::asio::io_context& m_context;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<StreamWriter> m_self;
    std::shared_ptr<const Message> m_message;
    bool m_writing = false;
    bool m_wakePending = false;
    bool m_ended = false;
};

} // namespace clementinesill::control
