#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselward
{

/**
 * Parses a text.
 * @param text the text
 * @return the value, or nothing if the text is not JSON
 */
std::optional<nlohmann::json> parseJson(std::string_view text);

/**
 * Finds a member of an object.
 * @param object any value
 * @param name name of the member
 * @return the member, or null if there is none
 */
const nlohmann::json *findMember(const nlohmann::json &object, const char *name);

/**
 * Reads a whole number.
 * @param object any value
 * @param name name of the member
 * @return the number, or nothing if the member is missing, negative, not whole or of another type
 */
std::optional<std::uint64_t> readNumber(const nlohmann::json &object, const char *name);

/**
 * Reads a text.
 * @param object any value
 * @param name name of the member
 * @return the text, or nothing if the member is missing or of another type
 */
std::optional<std::string> readText(const nlohmann::json &object, const char *name);

/**
 * Reads a flag, which is left out if it is false.
 * @param object any value
 * @param name name of the member
 * @return the flag, or nothing if the member has another type
 */
std::optional<bool> readFlag(const nlohmann::json &object, const char *name);

/**
 * Reads a number that is left out if it is zero.
 * @param object any value
 * @param name name of the member
 * @return the number, or nothing if the member has another type
 */
std::optional<std::uint64_t> readOptionalNumber(const nlohmann::json &object, const char *name);

} // namespace teaselward
