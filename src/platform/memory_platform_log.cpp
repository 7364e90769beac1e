#include "platform/memory_platform_log.h"

#include "platform/platform_error.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>

namespace teaselward
{

namespace detail
{

struct memory_record {
    log_record record;
    mono_time appended;
};

struct memory_stream {
    std::deque<memory_record> records;
    std::uint64_t first = 1; // Lowest retained offset.
    std::uint64_t next = 1;
};

class memory_platform_log_private
{
public:
    memory_platform_log_settings settings;
    std::mutex mutex; ///< Guards the streams.
    std::condition_variable appended; ///< Its timed waits are measured by the steady clock, unlike those of Abseil.
    std::map<std::string, memory_stream, std::less<>> streams;

    memory_stream &find(std::string_view name);
    void fill(const memory_stream &stream, std::uint64_t from, log_page &page) const;
};

// Returns the stream without its expired records. A stream is created on its first use.
memory_stream &memory_platform_log_private::find(std::string_view name)
{
    auto found = streams.find(name);
    if (found == streams.end()) {
        found = streams.emplace(std::string(name), memory_stream{}).first;
    }
    memory_stream &stream = found->second;
    if (settings.retention) {
        const mono_time oldest = settings.now() - *settings.retention;
        while (!stream.records.empty() && stream.records.front().appended < oldest) {
            stream.first = stream.records.front().record.offset + 1;
            stream.records.pop_front();
        }
    }
    return stream;
}

// Copies the records from an offset on, up to the page limit.
void memory_platform_log_private::fill(const memory_stream &stream, std::uint64_t from, log_page &page) const
{
    const auto begin = std::lower_bound(stream.records.begin(), stream.records.end(), from, [](const memory_record &entry, std::uint64_t offset) {
        return entry.record.offset < offset;
    });
    std::size_t bytes = 0;
    for (auto it = begin; it != stream.records.end(); ++it) {
        bytes += it->record.body.size();
        if (!page.records.empty() && bytes > settings.pageLimit) {
            break;
        }
        page.records.push_back(it->record);
    }
}

} // namespace detail

memory_platform_log::memory_platform_log(memory_platform_log_settings settings)
    : d(std::make_unique<detail::memory_platform_log_private>())
{
    d->settings = std::move(settings);
}

memory_platform_log::~memory_platform_log() = default;

std::error_code memory_platform_log::append(std::string_view stream, std::string_view body, std::chrono::milliseconds /*timeout*/, std::uint64_t &offset)
{
    if (body.size() > d->settings.recordLimit) {
        return platform_error::tooLarge;
    }
    const std::lock_guard lock(d->mutex);
    detail::memory_stream &target = d->find(stream);
    offset = target.next++;
    target.records.push_back({.record = {.offset = offset, .body = std::string(body)}, .appended = d->settings.now()});
    d->appended.notify_all();
    return {};
}

std::error_code memory_platform_log::read(std::string_view stream, std::uint64_t from, std::chrono::milliseconds wait, log_page &page)
{
    const mono_time until = mono_clock::now() + wait;
    std::unique_lock lock(d->mutex);
    while (true) {
        const detail::memory_stream &source = d->find(stream);
        page = {.records = {}, .first = source.first, .next = source.next};
        if (from < source.first) {
            return platform_error::belowRetention;
        }
        const auto left = until - mono_clock::now();
        if (from < source.next || left <= left.zero()) {
            d->fill(source, from, page);
            return {};
        }
        d->appended.wait_for(lock, left);
    }
}

void memory_platform_log::dropBelow(std::string_view stream, std::uint64_t first)
{
    const std::lock_guard lock(d->mutex);
    detail::memory_stream &target = d->find(stream);
    while (!target.records.empty() && target.records.front().record.offset < first) {
        target.records.pop_front();
    }
    target.first = std::max(target.first, std::min(first, target.next));
}

} // namespace teaselward
