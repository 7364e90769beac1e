#include "platform/platform_route_source.h"

#include "core/concat.h"
#include "platform/platform_error.h"
#include "platform/platform_log_codec.h"
#include "platform/route_codec.h"

#include <utility>
#include <vector>

namespace teaselward
{

namespace
{

constexpr std::string_view Topic = "keyed.op"; // Topic of the operators' records.
constexpr std::string_view ConfigKey = "config"; // Key of the configuration.

} // namespace

platform_route_source::platform_route_source(http_platform_log &store, logger &log)
    : m_store(store)
    , m_log(log)
{
}

// Applies a record if it holds a newer configuration. A malformed record is ignored, so the active routes stay.
void platform_route_source::applyRecord(const keyed_record &record, route_config &found) const
{
    if (record.key != ConfigKey) {
        return;
    }
    route_config decoded;
    if (!decodeRoutes(record.value, decoded)) {
        m_log.write(log_part::platform, concat("Ignored a malformed configuration. offset=", record.offset, " bytes=", record.value.size()));
        return;
    }
    if (decoded.version > found.version) {
        found = std::move(decoded);
    }
}

std::error_code platform_route_source::newest(route_config &found, std::uint64_t &next)
{
    found = {};
    std::vector<keyed_record> records;
    if (const std::error_code error = m_store.newest(Topic, records, next)) {
        return error;
    }
    for (const keyed_record &record : records) {
        applyRecord(record, found);
    }
    return {};
}

std::error_code platform_route_source::wait(std::uint64_t &next, std::chrono::milliseconds wait, route_config &found)
{
    found = {};
    log_page page;
    if (const std::error_code error = m_store.read(Topic, next, wait, page)) {
        return error;
    }
    for (const log_record &record : page.records) {
        if (const auto keyed = decodeKeyedRecord(record.body, record.offset)) {
            applyRecord(*keyed, found);
        } else {
            m_log.write(log_part::platform, concat("Ignored a malformed record. offset=", record.offset, " bytes=", record.body.size()));
        }
        next = record.offset + 1;
    }
    return {};
}

std::error_code platform_route_source::decode(const std::string &text, route_config &found) const
{
    return decodeRoutes(text, found) ? std::error_code() : make_error_code(platform_error::badResponse);
}

} // namespace teaselward
