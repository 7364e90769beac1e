#include "config/config_name.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <cstddef>

namespace teaselward
{

namespace
{

constexpr std::size_t ObjectNameLimit = 64;
constexpr std::size_t FileNameLimit = 128;

bool isName(std::string_view text, std::size_t limit)
{
    return !text.empty() && text.size() <= limit && std::all_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_isalnum(static_cast<unsigned char>(c)) || c == '_' || c == '-' || c == '.';
    });
}

} // namespace

bool isObjectName(std::string_view text)
{
    return isName(text, ObjectNameLimit);
}

// Hidden files may be temporary files of editors, and a name with a leading '-' would be taken for a command-line option.
bool isFileName(std::string_view text)
{
    return isName(text, FileNameLimit) && text.front() != '.' && text.front() != '-';
}

} // namespace teaselward
