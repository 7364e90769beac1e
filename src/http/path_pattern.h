#pragma once

#include <optional>
#include <string_view>

namespace teaselward
{

/**
 * Matches a path against a pattern.
 * @param pattern path in which at most one '*' matches an argument that is not empty and has no '/'
 * @param path the path
 * @return the argument, empty if the pattern has none; std::nullopt if the path does not match
 */
std::optional<std::string_view> matchPath(std::string_view pattern, std::string_view path);

} // namespace teaselward
