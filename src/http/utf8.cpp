#include "http/utf8.h"

#include <array>
#include <cstddef>

namespace teaselward
{

namespace
{

// Range of lead bytes with the range of the second byte and the number of following bytes (RFC 3629).
struct lead_range {
    unsigned char first;
    unsigned char last;
    unsigned char nextFirst;
    unsigned char nextLast;
    std::size_t following;
};

constexpr std::array Leads = {
    lead_range{0x00, 0x7f, 0x00, 0x00, 0},
    lead_range{0xc2, 0xdf, 0x80, 0xbf, 1},
    lead_range{0xe0, 0xe0, 0xa0, 0xbf, 2},
    lead_range{0xe1, 0xec, 0x80, 0xbf, 2},
    lead_range{0xed, 0xed, 0x80, 0x9f, 2},
    lead_range{0xee, 0xef, 0x80, 0xbf, 2},
    lead_range{0xf0, 0xf0, 0x90, 0xbf, 3},
    lead_range{0xf1, 0xf3, 0x80, 0xbf, 3},
    lead_range{0xf4, 0xf4, 0x80, 0x8f, 3},
};

bool isWithin(unsigned char value, unsigned char first, unsigned char last)
{
    return value >= first && value <= last;
}

// Returns the length of the code point at the start of the text, or zero if there is none.
std::size_t codePointLength(std::string_view text)
{
    const auto byte = [text](std::size_t index) {
        return static_cast<unsigned char>(text[index]);
    };
    for (const lead_range &lead : Leads) {
        if (!isWithin(byte(0), lead.first, lead.last)) {
            continue;
        }
        if (text.size() <= lead.following || (lead.following > 0 && !isWithin(byte(1), lead.nextFirst, lead.nextLast))) {
            return 0;
        }
        for (std::size_t i = 2; i <= lead.following; ++i) {
            if (!isWithin(byte(i), 0x80, 0xbf)) {
                return 0;
            }
        }
        return lead.following + 1;
    }
    return 0;
}

} // namespace

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t length = codePointLength(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

} // namespace teaselward
