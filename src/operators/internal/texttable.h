#pragma once

#include <string>
#include <vector>

namespace clementinesill::operators {

// Rows of text under headings, columns aligned.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> headings);

    void add(std::vector<std::string> row);

    // Lines without a line feed at the end.
    std::string render() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace clementinesill::operators
