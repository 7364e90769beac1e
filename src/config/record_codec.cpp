#include "config/record_codec.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace teaselward
{

namespace
{

using nlohmann::json;

json encode(const change_record &change)
{
    return {
        {"type", "change"},
        {"file", change.file},
        {"content", change.content ? json(*change.content) : json(nullptr)},
        {"base", change.baseVersion},
        {"id", change.appendId},
        {"author", change.author},
    };
}

json encode(const snapshot_record &snapshot)
{
    json files = json::array();
    for (const auto &[name, file] : snapshot.files) {
        files.push_back({{"file", name}, {"content", file.content}, {"version", file.version}, {"author", file.author}});
    }
    return {{"type", "snapshot"}, {"covers", snapshot.covers}, {"files", std::move(files)}, {"ids", snapshot.recentIds}};
}

// The functions below throw json::exception if a key is missing or has the wrong type; decodeRecord() catches it.

change_record decodeChange(const json &object)
{
    change_record change;
    change.file = object.at("file").get<std::string>();
    const json &content = object.at("content");
    if (!content.is_null()) {
        change.content = content.get<std::string>();
    }
    change.baseVersion = object.at("base").get<std::uint64_t>();
    change.appendId = object.at("id").get<std::string>();
    change.author = object.at("author").get<std::string>();
    return change;
}

snapshot_record decodeSnapshot(const json &object)
{
    snapshot_record snapshot;
    snapshot.covers = object.at("covers").get<std::uint64_t>();
    for (const json &entry : object.at("files")) {
        config_file file;
        file.content = entry.at("content").get<std::string>();
        file.version = entry.at("version").get<std::uint64_t>();
        file.author = entry.at("author").get<std::string>();
        snapshot.files.emplace(entry.at("file").get<std::string>(), std::move(file));
    }
    snapshot.recentIds = object.at("ids").get<std::vector<std::string>>();
    return snapshot;
}

} // namespace

std::string encodeRecord(const config_record &record)
{
    return std::visit(
        [](const auto &value) {
            return encode(value).dump();
        },
        record);
}

std::optional<config_record> decodeRecord(std::string_view text)
{
    try {
        const json object = json::parse(text);
        const auto &type = object.at("type").get_ref<const std::string &>();
        if (type == "change") {
            return decodeChange(object);
        }
        if (type == "snapshot") {
            return decodeSnapshot(object);
        }
    } catch (const json::exception &) {
        // Other programs may append to the stream too; all readers ignore records that they cannot decode.
    }
    return std::nullopt;
}

} // namespace teaselward
