#include "foundation/internal/pipeappender.h"

#include <climits>
#include <poll.h>
#include <string_view>
#include <unistd.h>

namespace clementinesill {

void PipeAppender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    std::string line = formatEvent(event);
    // A write of at most PIPE_BUF bytes to a writable pipe is atomic and does not block.
    if (line.size() > PIPE_BUF) {
        line.resize(PIPE_BUF - 1);
        line += '\n';
    }
    if (!writable() || ::write(m_descriptor, line.data(), line.size()) != static_cast<ssize_t>(line.size()))
        ++m_lost;
}

bool PipeAppender::writable() const
{
    pollfd polled { .fd = m_descriptor, .events = POLLOUT, .revents = 0 };
    return poll(&polled, 1, 0) == 1 && polled.revents == POLLOUT;
}

} // namespace clementinesill
