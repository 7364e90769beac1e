#include "config/text.h"

#include <algorithm>
#include <cstdint>

namespace teaselward
{

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view space = " \t\r\n\v\f";
    const std::size_t first = text.find_first_not_of(space);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(space) - first + 1);
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    for (std::size_t end = text.find(separator); end != std::string_view::npos; end = text.find(separator, begin)) {
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    parts.push_back(text.substr(begin));
    return parts;
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        return c >= ' ' && c <= '~';
    });
}

// Decodes each sequence, because overlong forms and surrogates consist of valid lead and continuation bytes.
bool isPlainText(std::string_view text)
{
    constexpr std::uint32_t minCodePoint[] = {0, 0, 0x80, 0x800, 0x10000};
    for (std::size_t i = 0; i < text.size();) {
        const auto lead = static_cast<unsigned char>(text[i]);
        const std::size_t length = lead < 0x80 ? 1 : lead >= 0xf0 ? 4 : lead >= 0xe0 ? 3 : lead >= 0xc0 ? 2 : 0;
        const bool isControl = (lead < ' ' && lead != '\t' && lead != '\n' && lead != '\r') || lead == 0x7f;
        if (isControl || length == 0 || lead >= 0xf8 || i + length > text.size()) {
            return false;
        }
        std::uint32_t point = length == 1 ? lead : lead & (0x7fU >> length);
        for (std::size_t k = 1; k < length; ++k) {
            const auto next = static_cast<unsigned char>(text[i + k]);
            if ((next & 0xc0) != 0x80) {
                return false;
            }
            point = point << 6 | (next & 0x3f);
        }
        if (point < minCodePoint[length] || point > 0x10ffff || (point >= 0xd800 && point < 0xe000)) {
            return false;
        }
        i += length;
    }
    return true;
}

} // namespace teaselward
