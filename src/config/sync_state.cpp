#include "config/sync_state.h"

#include <nlohmann/json.hpp>

namespace teaselward
{

std::string encodeSyncState(const sync_state &state)
{
    nlohmann::json object = nlohmann::json::object();
    for (const auto &[name, file] : state) {
        object[name] = {{"version", file.version}, {"hash", file.hash}};
    }
    return object.dump(1) + '\n';
}

std::optional<sync_state> decodeSyncState(std::string_view text)
{
    try {
        sync_state state;
        const nlohmann::json object = nlohmann::json::parse(text);
        for (const auto &[name, file] : object.items()) {
            state[name] = {.version = file.at("version").get<std::uint64_t>(), .hash = file.at("hash").get<std::string>()};
        }
        return state;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt; // The caller reports the error; assuming an empty state could undo changes of other operators.
    }
}

} // namespace teaselward
