#include "metrics/exposition_writer.h"

#include <array>
#include <charconv>

namespace teaselward
{

namespace
{

// Escapes the characters that are special inside a label value.
void appendEscaped(std::string &text, std::string_view value)
{
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            text += '\\';
            text += c;
        } else if (c == '\n') {
            text += "\\n";
        } else {
            text += c;
        }
    }
}

} // namespace

void exposition_writer::family(std::string_view name, std::string_view type, std::string_view help)
{
    m_text.append("# HELP ").append(name).append(" ").append(help).append("\n# TYPE ").append(name).append(" ").append(type).append("\n");
}

void exposition_writer::sample(std::string_view name, std::initializer_list<label> labels, double value)
{
    m_text += name;
    char separator = '{';
    for (const auto &[key, text] : labels) {
        m_text += separator;
        m_text.append(key).append("=\"");
        appendEscaped(m_text, text);
        m_text += '"';
        separator = ',';
    }
    if (labels.size() > 0) {
        m_text += '}';
    }
    std::array<char, 32> number{};
    const auto result = std::to_chars(number.data(), number.data() + number.size(), value);
    m_text.append(" ").append(number.data(), result.ptr).append("\n");
}

std::string exposition_writer::take()
{
    return std::exchange(m_text, {});
}

} // namespace teaselward
