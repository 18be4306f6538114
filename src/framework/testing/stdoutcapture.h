#pragma once

#include <array>
#include <fcntl.h>
#include <stdexcept>
#include <string>
#include <unistd.h>
#include <utility>

namespace clementinesill {

// Redirects standard output to a pipe during its lifetime. The pipe is read only by contents(), so that tests can let it
// fill up.
class StdoutCapture {
public:
    StdoutCapture()
        : m_savedStdout(dup(STDOUT_FILENO))
    {
        if (pipe(m_pipe.data()) != 0)
            throw std::runtime_error("cannot open a pipe");
        dup2(m_pipe[1], STDOUT_FILENO);
    }

    ~StdoutCapture()
    {
        restore();
        close(m_pipe[0]);
        close(m_pipe[1]);
    }

    // Ends the redirection.
    void restore()
    {
        if (m_savedStdout < 0)
            return;
        dup2(m_savedStdout, STDOUT_FILENO);
        close(std::exchange(m_savedStdout, -1));
    }

    // Reads everything that is in the pipe without waiting.
    std::string contents()
    {
        fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
        std::string all;
        std::array<char, 4096> part {};
        for (ssize_t length = 0; (length = read(m_pipe[0], part.data(), part.size())) > 0;)
            all.append(part.data(), static_cast<std::size_t>(length));
        return all;
    }

private:
    int m_savedStdout;
    std::array<int, 2> m_pipe {};
};

} // namespace clementinesill
