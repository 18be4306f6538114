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

// Bridges one server stream of gRPC's callback API to a coroutine on the control thread. All functions but the On*
// callbacks are called on that thread.
template <typename Message>
class StreamWriter final : public grpc::ServerWriteReactor<Message> {
public:
    // Lives until gRPC is done with it and the coroutine has let go of it.
    static std::shared_ptr<StreamWriter> create(boost::asio::io_context& context)
    {
        std::shared_ptr<StreamWriter> writer(new StreamWriter(context));
        writer->m_self = writer;
        return writer;
    }

    bool ended() const { return m_ended; }

    // False once the stream has ended.
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

    // Waits until wake(), the end of the stream, or the time given.
    boost::asio::awaitable<void> sleep(boost::asio::steady_timer::duration duration)
    {
        if (!m_woken && !m_ended)
            co_await wait(duration);
        m_woken = false;
    }

    // Ends the next or the current sleep.
    void wake()
    {
        m_woken = true;
        m_timer.cancel();
    }

    // Ends the stream from this side; no write may be in progress.
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
    bool m_woken = false;
    bool m_ended = false;
};

} // namespace clementinesill::control
