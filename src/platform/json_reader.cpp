#include "platform/json_reader.h"

#include <utility>

namespace teaselward
{

std::optional<nlohmann::json> parseJson(std::string_view text)
{
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
