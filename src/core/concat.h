#pragma once

#include <concepts>
#include <string>
#include <string_view>
#include <type_traits>

namespace teaselward
{

/**
 * Joins texts and whole numbers to one text, for log lines. The string views of the installed Abseil are not the standard
 * ones, so absl::StrCat does not take them.
 * @param parts texts and whole numbers
 */
template<typename... Parts>
std::string concat(const Parts &...parts)
{
    std::string text;
    const auto append = [&text](const auto &part) {
        if constexpr (std::integral<std::remove_cvref_t<decltype(part)>>) {
            text += std::to_string(part);
        } else {
            text += std::string_view(part);
        }
    };
    (append(parts), ...);
    return text;
}

} // namespace teaselward
