#include "http/path_pattern.h"

namespace teaselward
{

std::optional<std::string_view> matchPath(std::string_view pattern, std::string_view path)
{
    const auto star = pattern.find('*');
    if (star == std::string_view::npos) {
        return pattern == path ? std::optional(std::string_view()) : std::nullopt;
    }
    const std::string_view head = pattern.substr(0, star);
    const std::string_view tail = pattern.substr(star + 1);
    if (path.size() <= head.size() + tail.size() || !path.starts_with(head) || !path.ends_with(tail)) {
        return std::nullopt;
    }
    const std::string_view argument = path.substr(head.size(), path.size() - head.size() - tail.size());
    return argument.find('/') == std::string_view::npos ? std::optional(argument) : std::nullopt;
}

} // namespace teaselward
