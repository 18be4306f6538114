#include "operators/internal/texttable.h"

#include <algorithm>

namespace clementinesill::operators {

TextTable::TextTable(std::vector<std::string> headings)
    : m_rows { std::move(headings) }
{
}

void TextTable::add(std::vector<std::string> row)
{
    row.resize(m_rows.front().size());
    m_rows.push_back(std::move(row));
}

std::string TextTable::render() const
{
    constexpr std::size_t columnGap = 2;
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto& row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            widths[column] = std::max(widths[column], row[column].size() + columnGap);
    }
    std::string text;
    for (const auto& row : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column)
            line.append(row[column]).append(widths[column] - row[column].size(), ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text.append(text.empty() ? "" : "\n").append(line);
    }
    return text;
}

} // namespace clementinesill::operators
