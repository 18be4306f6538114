#pragma once

#include "foundation/types/errorkind.h"

#include <stdexcept>
#include <string>

namespace clementinesill {

// Base class of the project's exceptions: a machine-readable kind, and a problem and a remedy in readable text.
class Error : public std::runtime_error {
public:
    // what() reads "PROBLEM; REMEDY".
    Error(ErrorKind kind, const std::string& problem, const std::string& remedy)
        : std::runtime_error(problem + "; " + remedy)
        , m_kind(kind)
        , m_problem(problem)
        , m_remedy(remedy)
    {
    }

    ErrorKind kind() const { return m_kind; }
    const std::string& problem() const { return m_problem; }
    const std::string& remedy() const { return m_remedy; }

private:
    ErrorKind m_kind;
    std::string m_problem;
    std::string m_remedy;
};

} // namespace clementinesill
