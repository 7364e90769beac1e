#include "platform/log_answer_codec.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <optional>
#include <utility>

namespace teaselward
{

namespace
{

using nlohmann::json;

std::string toBase64(const std::string &body)
{
    std::string text(sodium_base64_ENCODED_LEN(body.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char *>(body.data()), body.size(), sodium_base64_VARIANT_ORIGINAL);
    text.pop_back(); // The terminating zero that libsodium counts.
    return text;
}

std::optional<std::string> fromBase64(const std::string &text)
{
    std::string body(text.size() / 4 * 3 + 3, '\0');
    std::size_t size = 0;
    const int result = sodium_base642bin(
        reinterpret_cast<unsigned char *>(body.data()), body.size(), text.data(), text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
    if (result != 0) {
        return std::nullopt;
    }
    body.resize(size);
    return body;
}

// Reads an unsigned number. Returns false if the key is missing or holds anything else.
bool readOffset(const json &object, const char *key, std::uint64_t &value)
{
    if (!object.is_object()) {
        return false;
    }
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned()) {
        return false;
    }
    value = found->get<std::uint64_t>();
    return true;
}

// Reads one record, which must lie above the one before it.
bool readRecord(const json &object, std::uint64_t above, log_record &record)
{
    if (!readOffset(object, "offset", record.offset) || record.offset <= above) {
        return false;
    }
    const auto body = object.find("body");
    if (body == object.end() || !body->is_string()) {
        return false;
    }
    auto bytes = fromBase64(body->get_ref<const std::string &>());
    if (!bytes) {
        return false;
    }
    record.body = std::move(*bytes);
    return true;
}

} // namespace

std::string encodeAppendAnswer(std::uint64_t offset)
{
    return json{{"offset", offset}}.dump();
}

bool decodeAppendAnswer(std::string_view text, std::uint64_t &offset)
{
    return readOffset(json::parse(text, nullptr, false), "offset", offset);
}

std::string encodePage(const log_page &page)
{
    json records = json::array();
    for (const log_record &record : page.records) {
        records.push_back({{"offset", record.offset}, {"body", toBase64(record.body)}});
    }
    return json{{"records", std::move(records)}, {"first", page.first}, {"next", page.next}}.dump();
}

bool decodePage(std::string_view text, log_page &page)
{
    page = {};
    const json object = json::parse(text, nullptr, false);
    if (!readOffset(object, "first", page.first) || !readOffset(object, "next", page.next)) {
        return false;
    }
    const auto records = object.find("records");
    if (records == object.end() || !records->is_array()) {
        return false;
    }
    std::uint64_t above = 0;
    for (const json &entry : *records) {
        log_record record;
        if (!readRecord(entry, above, record)) {
            return false;
        }
        above = record.offset;
        page.records.push_back(std::move(record));
    }
    return true;
}

} // namespace teaselward
