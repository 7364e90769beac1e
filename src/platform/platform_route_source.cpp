#include "platform/platform_route_source.h"

#include "core/concat.h"
#include "platform/platform_error.h"
#include "platform/platform_log_codec.h"
#include "platform/route_codec.h"

#include <array>
#include <chrono>
#include <utility>

namespace teaselward
{

namespace
{

constexpr std::string_view Topic = "keyed.op"; // Topic of the operators' records.
constexpr std::chrono::milliseconds ReadTimeout{1000};

// A process that has just started turns all requests away until it knows the routes, so its first reads wait only for a store that is
// neither slow nor silent.
constexpr std::chrono::milliseconds FirstReadTimeout{250};
constexpr std::chrono::milliseconds FirstCopyTimeout{80};
constexpr std::string_view ConfigKey = "config"; // Key of the configuration.
constexpr std::string_view EvacuationsKey = "evacuations"; // Key of the copies of the evacuations.

// Copies of the configuration stand in several partitions of a topic of their own. In an outage of some partitions of the store, a process
// that starts then finds one of them.
constexpr std::string_view CopyTopic = "keyed.teaselward-routes";
constexpr std::array<std::uint32_t, 4> CopyParts = {3, 7, 11, 15};
constexpr int MaxCopyFailures = 2; // Then the whole store is probably down, and the operators' records are to be tried again soon.
constexpr std::chrono::milliseconds CopyTimeout{300}; // The store answers within 4 ms, or within 400 ms while it is slow.

} // namespace

platform_route_source::platform_route_source(http_platform_log &store, std::uint64_t process, logger &log)
    : m_store(store)
    , m_process(process)
    , m_log(log)
    , m_evacuations(log)
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

// A failure domain whose key is missing in the list of the newest records is no longer evacuated.
std::error_code platform_route_source::newest(route_config &found, evacuation_state &evacuations, std::uint64_t &next)
{
    found = {};
    keyed_page page;
    const auto timeout = std::exchange(m_hasRead, true) ? ReadTimeout : FirstReadTimeout;
    if (const std::error_code error = m_store.newest(Topic, 0, timeout, page)) {
        return error;
    }
    next = page.next;
    if (page.ignored > 0) {
        m_log.write(log_part::platform, concat("Ignored malformed records. topic=", Topic, " count=", page.ignored));
    }
    evacuations = {.offset = page.next - 1, .failureDomains = {}};
    for (const keyed_record &record : page.records) {
        applyRecord(record, found);
        m_evacuations.apply(record.key, record.value, evacuations);
    }
    for (const std::string &key : page.unreadable) {
        m_evacuations.applyUnreadable(key, evacuations);
    }
    return {};
}

std::error_code platform_route_source::wait(std::uint64_t &next, std::chrono::milliseconds wait, route_config &found, evacuation_state &evacuations)
{
    found = {};
    log_page page;
    if (const std::error_code error = m_store.read(Topic, next, wait, page)) {
        return error;
    }
    for (const log_record &record : page.records) {
        if (const auto keyed = decodeKeyedRecord(record.body, record.offset)) {
            applyRecord(*keyed, found);
            m_evacuations.apply(keyed->key, keyed->value, evacuations);
        } else {
            m_log.write(log_part::platform, concat("Ignored a malformed record. offset=", record.offset, " bytes=", record.body.size()));
        }
        next = record.offset + 1;
        evacuations.offset = record.offset;
    }
    return {};
}

std::error_code platform_route_source::storeCopy(const std::string &text)
{
    return storeCopy(ConfigKey, text);
}

std::error_code platform_route_source::storeCopy(const evacuation_state &evacuations)
{
    return storeCopy(EvacuationsKey, evacuation_records::encodeCopy(evacuations));
}

std::error_code platform_route_source::storeCopy(std::string_view key, const std::string &text)
{
    return m_store.appendKeyed(CopyTopic, CopyParts.at(m_process % CopyParts.size()), {.key = std::string(key), .value = text, .offset = 0}, CopyTimeout);
}

// Each process stores its copy in one of the partitions, so the copy with the highest offset is the newest.
void platform_route_source::applyCopy(const keyed_record &record, evacuation_state &found) const
{
    if (record.key != EvacuationsKey) {
        return;
    }
    evacuation_state decoded;
    if (!m_evacuations.decodeCopy(record.value, decoded)) {
        m_log.write(log_part::platform, concat("Ignored a malformed copy of the evacuations. bytes=", record.value.size()));
    } else if (decoded.offset > found.offset) {
        found = std::move(decoded);
    }
}

std::error_code platform_route_source::newestCopy(route_config &found, evacuation_state &evacuations)
{
    found = {};
    evacuations = {};
    std::error_code failure;
    const bool isFirst = !std::exchange(m_hasReadCopies, true);
    const auto timeout = isFirst ? FirstCopyTimeout : CopyTimeout;
    int failures = 0;
    for (auto part = CopyParts.begin(); part != CopyParts.end() && (isFirst || failures < MaxCopyFailures); ++part) {
        keyed_page page;
        if (const std::error_code error = m_store.newest(CopyTopic, *part, timeout, page)) {
            failure = error;
            ++failures;
        }
        for (const keyed_record &record : page.records) {
            applyRecord(record, found);
            applyCopy(record, evacuations);
        }
    }
    return found.version > 0 ? std::error_code() : failure;
}

std::error_code platform_route_source::decode(const std::string &text, route_config &found) const
{
    return decodeRoutes(text, found) ? std::error_code() : make_error_code(platform_error::badResponse);
}

} // namespace teaselward
