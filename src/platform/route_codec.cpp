#include "platform/route_codec.h"

#include "platform/json_reader.h"

#include <chrono>
#include <optional>
#include <utility>

namespace teaselward
{

namespace
{

using nlohmann::json;

std::optional<route> decodeRoute(const json &item)
{
    const auto name = readText(item, "Name");
    const auto host = readText(item, "Host");
    const auto prefix = readText(item, "PathPrefix");
    const auto service = readText(item, "Service");
    if (!name || !host || !prefix || !service) {
        return std::nullopt;
    }
    route found;
    found.kind = *name;
    found.host = *host;
    found.pathPrefix = *prefix;
    found.service = *service;
    found.timeLimit = std::chrono::milliseconds(readNumber(item, "TimeoutMs").value_or(0));
    found.target = std::chrono::milliseconds(readNumber(item, "TargetCompletionMs").value_or(0));
    const json *stretch = findMember(item, "Stretch");
    found.stretch = stretch != nullptr && stretch->is_number() ? stretch->get<double>() : 1;
    found.priority = static_cast<std::uint32_t>(readNumber(item, "Priority").value_or(0));
    found.attempts = static_cast<std::uint32_t>(readNumber(item, "Attempts").value_or(1));
    return found;
}

} // namespace

bool decodeRoutes(const std::string &text, route_config &config)
{
    const auto object = parseJson(text);
    const auto version = object ? readNumber(*object, "Version") : std::nullopt;
    const json *routes = object ? findMember(*object, "Routes") : nullptr;
    if (!version || routes == nullptr || !routes->is_array()) {
        return false;
    }
    config = {};
    config.version = *version;
    for (const json &item : *routes) {
        auto one = decodeRoute(item);
        if (!one) {
            return false;
        }
        config.routes.push_back(std::move(*one));
    }
    config.text = text;
    return true;
}

} // namespace teaselward
