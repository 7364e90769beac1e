#include "core/factor_text.h"

#include <array>
#include <charconv>

namespace teaselward
{

std::string factorText(double factor)
{
    constexpr int decimals = 2;
    std::array<char, 32> text{};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), factor, std::chars_format::fixed, decimals);
    return end.ec == std::errc() ? std::string(text.data(), end.ptr) : "?";
}

} // namespace teaselward
