#pragma once

#include <atomic>
#include <cstdint>
#include <log4cplus/appender.h>

namespace clementinesill {

// Writes lines to a file descriptor without blocking: a line that cannot be written at once is dropped and counted.
class PipeAppender final : public log4cplus::Appender {
public:
    explicit PipeAppender(int descriptor)
        : m_descriptor(descriptor)
    {
    }

    ~PipeAppender() override { destructorImpl(); }

    void close() override { closed = true; }

    // Number of lines dropped so far.
    std::uint64_t lost() const { return m_lost; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    bool writable() const;

    int m_descriptor;
    std::atomic<std::uint64_t> m_lost { 0 };
};

} // namespace clementinesill
