#include "operators/internal/jsonparser.h"

#include "operators/configerror.h"

#include <iterator>
#include <nlohmann/json.hpp>

namespace clementinesill::operators {

namespace {

constexpr std::size_t maximumBytes = 1 << 20;
constexpr std::size_t maximumDepth = 16;

// Line that the parser has read up to. The library's SAX interface does not report positions.
struct ReadPosition {
    int line = 1;
    char lastCharacter = 0;

    // The parser reads one character past a number; if that is a line feed, the number is on the previous line.
    int lineOfValue() const { return lastCharacter == '\n' ? line - 1 : line; }
};

class LineCountingIterator {
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char*;
    using reference = const char&;

    LineCountingIterator(const char* current, ReadPosition* position)
        : m_current(current)
        , m_position(position)
    {
    }

    reference operator*() const { return *m_current; }
    bool operator==(const LineCountingIterator& other) const { return m_current == other.m_current; }

    LineCountingIterator& operator++()
    {
        m_position->lastCharacter = *m_current;
        if (*m_current == '\n')
            ++m_position->line;
        ++m_current;
        return *this;
    }

    LineCountingIterator operator++(int)
    {
        const auto before = *this;
        ++*this;
        return before;
    }

private:
    const char* m_current;
    ReadPosition* m_position;
};

// Builds the tree of nodes from the parser's SAX events.
class TreeBuilder final : public nlohmann::json_sax<nlohmann::json> {
public:
    TreeBuilder(const std::string& file, ErrorKind kind, const ReadPosition& position)
        : m_file(file)
        , m_kind(kind)
        , m_position(position)
    {
    }

    JsonNode takeRoot() { return std::move(m_root); }

    bool null() override { return add({ .type = JsonNode::Type::Null }); }
    bool boolean(bool value) override { return add({ .type = JsonNode::Type::Boolean, .boolean = value }); }
    bool number_integer(number_integer_t value) override { return add({ .type = JsonNode::Type::OtherNumber, .number = static_cast<double>(value) }); }
    bool number_unsigned(number_unsigned_t value) override { return add({ .type = JsonNode::Type::UnsignedInteger, .integer = value, .number = static_cast<double>(value) }); }
    bool number_float(number_float_t value, const string_t&) override { return add({ .type = JsonNode::Type::OtherNumber, .number = value }); }
    bool string(string_t& value) override { return add({ .type = JsonNode::Type::String, .text = value }); }
    bool binary(binary_t&) override { return false; }
    bool start_object(std::size_t) override { return open({ .type = JsonNode::Type::Object }); }
    bool start_array(std::size_t) override { return open({ .type = JsonNode::Type::Array }); }
    bool end_object() override { return close(); }
    bool end_array() override { return close(); }

    bool key(string_t& value) override
    {
        m_open.back()->members.push_back({ .key = value, .line = m_position.lineOfValue(), .value = {} });
        return true;
    }

    bool parse_error(std::size_t, const std::string& token, const nlohmann::json::exception& error) override
    {
        const std::string message = error.what();
        const auto detail = message.find(": ");
        const auto problem = "not valid JSON near '" + token + "'" + (detail == std::string::npos ? "" : message.substr(detail));
        throw ConfigError(m_kind, ConfigFault::Syntax, { .file = m_file, .line = m_position.lineOfValue() }, problem, "correct the JSON syntax");
    }

private:
    JsonNode* insert(JsonNode&& node)
    {
        node.line = m_position.lineOfValue();
        JsonNode* target = &m_root;
        if (!m_open.empty() && m_open.back()->type == JsonNode::Type::Object)
            target = &m_open.back()->members.back().value;
        else if (!m_open.empty())
            target = &m_open.back()->items.emplace_back();
        *target = std::move(node);
        return target;
    }

    bool add(JsonNode&& node)
    {
        insert(std::move(node));
        return true;
    }

    bool open(JsonNode&& node)
    {
        if (m_open.size() == maximumDepth)
            throw ConfigError(m_kind, ConfigFault::TooLarge, { .file = m_file, .line = m_position.line }, "nested too deeply", "use at most " + std::to_string(maximumDepth) + " levels");
        m_open.push_back(insert(std::move(node)));
        return true;
    }

    bool close()
    {
        m_open.pop_back();
        return true;
    }

    const std::string& m_file;
    ErrorKind m_kind;
    const ReadPosition& m_position;
    JsonNode m_root;
    // Open containers from the root to the innermost one. Only the innermost one grows, so the pointers stay valid.
    std::vector<JsonNode*> m_open;
};

bool isUtf8(std::string_view text)
{
    try {
        static_cast<void>(nlohmann::json(text).dump());
        return true;
    } catch (const nlohmann::json::exception&) {
        return false;
    }
}

// The parser does not check comments for valid UTF-8, but invalid UTF-8 cannot be sent to the controllers.
void checkUtf8(const std::string& file, std::string_view text, ErrorKind kind)
{
    if (isUtf8(text))
        return;
    int line = 1;
    for (auto end = text.find('\n'); end != std::string_view::npos && isUtf8(text.substr(0, end)); end = text.find('\n')) {
        text.remove_prefix(end + 1);
        ++line;
    }
    throw ConfigError(kind, ConfigFault::Syntax, { .file = file, .line = line }, "the line is not UTF-8 text", "save the file as UTF-8");
}

} // namespace

JsonNode parseJson(const std::string& file, std::string_view text, ErrorKind kind)
{
    if (text.size() > maximumBytes)
        throw ConfigError(kind, ConfigFault::TooLarge, { .file = file }, "larger than " + std::to_string(maximumBytes) + " bytes", "split the file");
    checkUtf8(file, text, kind);
    ReadPosition position;
    TreeBuilder builder(file, kind, position);
    const LineCountingIterator first(text.data(), &position);
    const LineCountingIterator last(text.data() + text.size(), &position);
    nlohmann::json::sax_parse(first, last, &builder, nlohmann::json::input_format_t::json, true, true);
    return builder.takeRoot();
}

} // namespace clementinesill::operators
