#include "platform/route_codec.h"

#include "platform/json_reader.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace teaselward
{

namespace
{

using nlohmann::json;

// The store accepts only valid configurations, so a value beyond its limit is reduced to it instead of refusing all routes.
constexpr std::uint64_t MaxDurationMs = std::uint64_t{24} * 60 * 60 * 1000;
constexpr double MaxStretch = 1000;
constexpr std::uint64_t MaxPriority = 100; // The weight of a kind halves with each priority.
constexpr std::uint64_t MaxAttempts = 1000;

std::uint64_t readUpTo(const json &item, const char *name, std::uint64_t limit, std::uint64_t otherwise)
{
    return std::min(readNumber(item, name).value_or(otherwise), limit);
}

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
    found.timeLimit = std::chrono::milliseconds(readUpTo(item, "TimeoutMs", MaxDurationMs, 0));
    found.target = std::chrono::milliseconds(readUpTo(item, "TargetCompletionMs", MaxDurationMs, 0));
    const json *stretch = findMember(item, "Stretch");
    found.stretch = stretch != nullptr && stretch->is_number() ? std::clamp(stretch->get<double>(), 0.0, MaxStretch) : 1;
    found.priority = static_cast<std::uint32_t>(readUpTo(item, "Priority", MaxPriority, 0));
    found.attempts = static_cast<std::uint32_t>(readUpTo(item, "Attempts", MaxAttempts, 1));
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
