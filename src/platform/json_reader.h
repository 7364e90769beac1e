#pragma once

#include "platform/number_range.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselward
{

/**
 * Parses a JSON text.
 * @param text the text
 * @return the value, or std::nullopt if the text is not JSON or is nested more than 32 levels deep
 */
std::optional<nlohmann::json> parseJson(std::string_view text);

/**
 * Finds a member of an object.
 * @param object any JSON value
 * @param name name of the member
 * @return the member, or null if there is none
 */
const nlohmann::json *findMember(const nlohmann::json &object, const char *name);

/**
 * Reads an unsigned integer.
 * @param object any JSON value
 * @param name name of the member
 * @return the number, or std::nullopt if the member is missing, negative, fractional or of another type
 */
std::optional<std::uint64_t> readNumber(const nlohmann::json &object, const char *name);

/**
 * Reads an unsigned integer within a range.
 * @param object any JSON value
 * @param name name of the member
 * @param range accepted values
 * @return the number, or std::nullopt if readNumber() returns none or the number is out of range
 */
std::optional<std::uint64_t> readNumber(const nlohmann::json &object, const char *name, const number_range &range);

/**
 * Reads an unsigned integer that may be omitted if it is zero.
 * @param object any JSON value
 * @param name name of the member
 * @param range accepted values; zero is always accepted
 * @return the number, or std::nullopt if the member has another type or is out of range
 */
std::optional<std::uint64_t> readOptionalNumber(const nlohmann::json &object, const char *name, const number_range &range);

/**
 * Reads a string.
 * @param object any JSON value
 * @param name name of the member
 * @return the string, or std::nullopt if the member is missing or of another type
 */
std::optional<std::string> readText(const nlohmann::json &object, const char *name);

/**
 * Reads a Boolean that may be omitted if it is false.
 * @param object any JSON value
 * @param name name of the member
 * @return the value, or std::nullopt if the member has another type
 */
std::optional<bool> readFlag(const nlohmann::json &object, const char *name);

/**
 * Reads an unsigned integer that may be omitted if it is zero.
 * @param object any JSON value
 * @param name name of the member
 * @return the number, or std::nullopt if the member has another type
 */
std::optional<std::uint64_t> readOptionalNumber(const nlohmann::json &object, const char *name);

} // namespace teaselward
