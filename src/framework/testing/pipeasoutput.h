#pragma once

#include <array>
#include <fcntl.h>
#include <stdexcept>
#include <string>
#include <unistd.h>
#include <utility>

namespace clementinesill {

// Takes the place of standard output while it lives; nobody reads it until contents() is called.
class PipeAsOutput {
public:
    PipeAsOutput()
        : m_output(dup(STDOUT_FILENO))
    {
        if (pipe(m_ends.data()) != 0)
            throw std::runtime_error("no pipe can be opened");
        dup2(m_ends[1], STDOUT_FILENO);
    }

    ~PipeAsOutput()
    {
        restore();
        close(m_ends[0]);
        close(m_ends[1]);
    }

    void restore()
    {
        if (m_output < 0)
            return;
        dup2(m_output, STDOUT_FILENO);
        close(std::exchange(m_output, -1));
    }

    std::string contents()
    {
        fcntl(m_ends[0], F_SETFL, O_NONBLOCK);
        std::string all;
        std::array<char, 4096> part {};
        for (ssize_t length = 0; (length = read(m_ends[0], part.data(), part.size())) > 0;)
            all.append(part.data(), static_cast<std::size_t>(length));
        return all;
    }

private:
    int m_output;
    std::array<int, 2> m_ends {};
};

} // namespace clementinesill
