#pragma once

#include <concepts>
#include <string>
#include <string_view>
#include <type_traits>

namespace teaselward
{

/**
 * Concatenates strings and integers, for log lines. absl::StrCat is not usable here: the packaged Abseil has its own string
 * view type and does not accept std::string_view.
 * @param parts strings and integers
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
