#include "platform/platform_log_codec.h"

#include "platform/json_reader.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

namespace teaselward
{

namespace
{

using nlohmann::json;

constexpr std::size_t LengthBytes = 4; // Length prefix of a record.
constexpr std::size_t OffsetBytes = 8; // Two offsets precede the records of a page.

std::string toBase64(const std::string &body)
{
    std::string text(sodium_base64_ENCODED_LEN(body.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char *>(body.data()), body.size(), sodium_base64_VARIANT_ORIGINAL);
    text.pop_back(); // libsodium writes a terminating null character.
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

// Appends a number in big-endian order.
void putNumber(std::string &bytes, std::uint64_t value, std::size_t size)
{
    for (std::size_t shift = size * 8; shift > 0; shift -= 8) {
        bytes.push_back(static_cast<char>(value >> (shift - 8) & 0xFFU));
    }
}

// Removes a number from the front. Returns false if too few bytes are left.
bool takeNumber(std::string_view &bytes, std::size_t size, std::uint64_t &value)
{
    if (bytes.size() < size) {
        return false;
    }
    value = 0;
    for (std::size_t i = 0; i < size; ++i) {
        value = value << 8U | static_cast<unsigned char>(bytes[i]);
    }
    bytes.remove_prefix(size);
    return true;
}

// Removes a record from the front. Returns false if it is truncated.
bool takeRecord(std::string_view &bytes, std::string &body)
{
    std::uint64_t size = 0;
    if (!takeNumber(bytes, LengthBytes, size) || bytes.size() < size) {
        return false;
    }
    body = bytes.substr(0, size);
    bytes.remove_prefix(size);
    return true;
}

// Reads an offset and converts it from the wire. Returns false if the member is missing or no unsigned integer.
bool readOffset(const json &object, const char *key, std::uint64_t &value)
{
    if (!object.is_object()) {
        return false;
    }
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned()) {
        return false;
    }
    value = found->get<std::uint64_t>() + 1;
    return true;
}

// The keys of records are bytes of any writer, but JSON requires UTF-8. Replaces all bytes beyond ASCII, since only ASCII keys are read.
std::string replaceInvalidUtf8(std::string_view text)
{
    constexpr unsigned char firstBeyondAscii = 0x80;
    std::string ascii(text);
    std::ranges::replace_if(
        ascii,
        [](char c) {
            return static_cast<unsigned char>(c) >= firstBeyondAscii;
        },
        '?');
    return ascii;
}

// Returns the key of a record whose value is not readable; empty if the key is not readable either or there is no value.
std::string keyWithoutValue(const json &item)
{
    const json *value = findMember(item, "Value");
    return value != nullptr && !value->is_null() ? readText(item, "Key").value_or(std::string()) : std::string();
}

bool readKeyedRecord(const json &item, keyed_record &record)
{
    if (!readOffset(item, "Offset", record.offset)) {
        return false;
    }
    const auto key = item.find("Key");
    const auto value = item.find("Value");
    if (key == item.end() || !key->is_string() || value == item.end() || !value->is_string()) {
        return false;
    }
    auto bytes = fromBase64(value->get_ref<const std::string &>());
    record.key = key->get<std::string>();
    record.value = bytes.value_or(std::string());
    return bytes.has_value();
}

} // namespace

std::string encodeRecord(std::string_view body)
{
    std::string bytes;
    putNumber(bytes, body.size(), LengthBytes);
    bytes += body;
    return bytes;
}

bool decodeRecords(std::string_view bytes, std::vector<std::string> &bodies)
{
    while (!bytes.empty()) {
        std::string body;
        if (!takeRecord(bytes, body)) {
            return false;
        }
        bodies.push_back(std::move(body));
    }
    return true;
}

std::string encodeAppendResponse(std::uint64_t offset)
{
    return json{{"Offset", offset - 1}, {"EndOffset", offset}}.dump();
}

bool decodeAppendResponse(std::string_view text, std::uint64_t &offset)
{
    return readOffset(json::parse(text, nullptr, false), "Offset", offset);
}

std::string encodePage(const log_page &page)
{
    std::string bytes;
    putNumber(bytes, page.next - 1, OffsetBytes);
    putNumber(bytes, page.first - 1, OffsetBytes);
    for (const log_record &record : page.records) {
        bytes += encodeRecord(record.body);
    }
    return bytes;
}

bool decodePage(std::string_view bytes, std::uint64_t from, log_page &page)
{
    page = {};
    if (!takeNumber(bytes, OffsetBytes, page.next) || !takeNumber(bytes, OffsetBytes, page.first)) {
        return false;
    }
    ++page.next;
    ++page.first;
    while (!bytes.empty()) {
        log_record record;
        record.offset = from + page.records.size();
        if (!takeRecord(bytes, record.body)) {
            return false;
        }
        page.records.push_back(std::move(record));
    }
    return true;
}

std::string encodeBelowRetention(std::uint64_t first)
{
    return json{{"FirstOffset", first - 1}}.dump();
}

bool decodeBelowRetention(std::string_view text, std::uint64_t &first)
{
    return readOffset(json::parse(text, nullptr, false), "FirstOffset", first);
}

std::string encodeKeyedRecord(const keyed_record &record)
{
    std::string bytes;
    putNumber(bytes, record.key.size(), 1);
    return bytes + record.key + record.value;
}

std::optional<keyed_record> decodeKeyedRecord(std::string_view body, std::uint64_t offset)
{
    std::uint64_t size = 0;
    if (!takeNumber(body, 1, size) || body.size() < size) {
        return std::nullopt;
    }
    return keyed_record{std::string(body.substr(0, size)), std::string(body.substr(size)), offset};
}

std::string encodeNewestRecords(const std::vector<keyed_record> &records, std::uint64_t next)
{
    json items = json::array();
    for (const keyed_record &record : records) {
        items.push_back({{"Key", record.key}, {"Value", toBase64(record.value)}, {"Offset", record.offset - 1}});
    }
    return json{{"items", std::move(items)}, {"HasMore", false}, {"EndOffset", next - 1}}.dump();
}

bool decodeNewestRecords(std::string_view text, keyed_page &page)
{
    page = {};
    auto object = parseJson(text);
    if (!object) {
        object = parseJson(replaceInvalidUtf8(text));
    }
    if (!object || !readOffset(*object, "EndOffset", page.next)) {
        return false;
    }
    const auto items = object->find("items");
    if (items == object->end() || !items->is_array()) {
        return false;
    }
    for (const json &item : *items) {
        page.lastKey = readText(item, "Key").value_or(page.lastKey);
        keyed_record record;
        if (readKeyedRecord(item, record)) {
            page.records.push_back(std::move(record));
        } else {
            ++page.ignored;
            if (std::string key = keyWithoutValue(item); !key.empty()) {
                page.unreadable.push_back(std::move(key));
            }
        }
    }
    page.hasMore = readFlag(*object, "HasMore").value_or(false);
    return true;
}

} // namespace teaselward
