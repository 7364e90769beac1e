#include "platform/json_reader.h"

#include <utility>

namespace teaselward
{

namespace
{

// The messages of the platform are nested five levels deep. Each level costs memory several times its bytes of text.
constexpr std::size_t MaxDepth = 32;

// Checks the nesting before the text is parsed, so that a nested text cannot exhaust the memory of a small process.
bool isNestedWithin(std::string_view text, std::size_t limit)
{
    std::size_t depth = 0;
    bool isInString = false;
    bool isEscaped = false;
    for (const char c : text) {
        if (isInString) {
            isInString = isEscaped || c != '"';
            isEscaped = !isEscaped && c == '\\';
        } else if (c == '"') {
            isInString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > limit) {
                return false;
            }
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return true;
}

bool isWithin(std::uint64_t value, const number_range &range)
{
    return value >= range.min && value <= range.max;
}

} // namespace

std::optional<nlohmann::json> parseJson(std::string_view text)
{
    if (!isNestedWithin(text, MaxDepth)) {
        return std::nullopt;
    }
    nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

const nlohmann::json *findMember(const nlohmann::json &object, const char *name)
{
    if (!object.is_object()) {
        return nullptr;
    }
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

std::optional<std::uint64_t> readNumber(const nlohmann::json &object, const char *name)
{
    const nlohmann::json *member = findMember(object, name);
    return member != nullptr && member->is_number_unsigned() ? std::optional(member->get<std::uint64_t>()) : std::nullopt;
}

std::optional<std::uint64_t> readNumber(const nlohmann::json &object, const char *name, const number_range &range)
{
    const auto value = readNumber(object, name);
    return value && isWithin(*value, range) ? value : std::nullopt;
}

std::optional<std::uint64_t> readOptionalNumber(const nlohmann::json &object, const char *name, const number_range &range)
{
    const auto value = readOptionalNumber(object, name);
    return value && (*value == 0 || isWithin(*value, range)) ? value : std::nullopt;
}

std::optional<std::string> readText(const nlohmann::json &object, const char *name)
{
    const nlohmann::json *member = findMember(object, name);
    return member != nullptr && member->is_string() ? std::optional(member->get<std::string>()) : std::nullopt;
}

std::optional<bool> readFlag(const nlohmann::json &object, const char *name)
{
    const nlohmann::json *member = findMember(object, name);
    if (member == nullptr) {
        return false;
    }
    return member->is_boolean() ? std::optional(member->get<bool>()) : std::nullopt;
}

std::optional<std::uint64_t> readOptionalNumber(const nlohmann::json &object, const char *name)
{
    return findMember(object, name) == nullptr ? std::optional<std::uint64_t>(0) : readNumber(object, name);
}

} // namespace teaselward
