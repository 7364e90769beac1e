#include "settings/setting_value.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>
#include <arpa/inet.h>

#include <array>

namespace teaselward
{

namespace
{

// Debian's Abseil has its own string view type, which does not convert from std::string_view.
absl::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

bool isAddress(std::string_view text)
{
    constexpr std::uint32_t largestPort = 65535;
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    std::uint32_t port = 0;
    if (!absl::SimpleAtoi(view(text.substr(colon + 1)), &port) || port > largestPort) {
        return false;
    }
    std::string host(text.substr(0, colon));
    std::array<unsigned char, sizeof(in6_addr)> address{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
        return ::inet_pton(AF_INET6, host.c_str(), address.data()) == 1;
    }
    return ::inet_pton(AF_INET, host.c_str(), address.data()) == 1;
}

std::vector<std::string> parseList(std::string_view text)
{
    std::vector<std::string> words;
    for (const absl::string_view word : absl::StrSplit(view(text), ',')) {
        const auto trimmed = absl::StripAsciiWhitespace(word);
        if (!trimmed.empty()) {
            words.emplace_back(trimmed);
        }
    }
    return words;
}

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    absl::Duration duration;
    if (!absl::ParseDuration(view(text), &duration) || duration == absl::InfiniteDuration() || duration < absl::ZeroDuration()) {
        return std::nullopt;
    }
    return absl::ToChronoMilliseconds(duration);
}

std::optional<std::uint32_t> parseNumber(std::string_view text)
{
    std::uint32_t number = 0;
    if (!absl::SimpleAtoi(view(text), &number)) {
        return std::nullopt;
    }
    return number;
}

std::optional<bool> parseFlag(std::string_view text)
{
    if (text == "yes") {
        return true;
    }
    if (text == "no") {
        return false;
    }
    return std::nullopt;
}

} // namespace teaselward
