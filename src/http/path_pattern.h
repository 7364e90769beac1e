#pragma once

#include <optional>
#include <string_view>

namespace teaselward
{

/**
 * Matches a path with a pattern.
 * @param pattern path in which at most one '*' stands for an argument that is not empty and has no '/'
 * @param path the path
 * @return the argument, empty if the pattern has none; nothing if the path does not match
 */
std::optional<std::string_view> matchPath(std::string_view pattern, std::string_view path);

} // namespace teaselward
