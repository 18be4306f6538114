#pragma once

#include <string>
#include <vector>

namespace clementinesill::operators {

// A table of text with headings and aligned columns.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> headings);

    void add(std::vector<std::string> row);

    // Returns the lines without a trailing line feed.
    std::string render() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace clementinesill::operators
