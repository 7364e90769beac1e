#include "config/config_publisher.h"

#include "base/backoff.h"
#include "base/clock.h"
#include "config/config_error.h"
#include "config/config_merge.h"
#include "config/config_reader.h"
#include "config/record_codec.h"
#include "platform/platform_error.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace teaselward
{

namespace detail
{

namespace
{

// Longest time that one read waits for the appended record.
constexpr std::chrono::milliseconds ReadBackWait(500);

// Returns 128 random bits in hexadecimal, so that ids of different operators don't collide.
std::string makeAppendId()
{
    std::array<unsigned char, 16> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, 33> text{};
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    return text.data();
}

// Finds the change with an append id whose result counts, that is, not a repetition.
const applied_change *findResult(const std::vector<applied_change> &changes, const std::string &id)
{
    const auto found = std::find_if(changes.begin(), changes.end(), [&id](const applied_change &applied) {
        return applied.change.appendId == id && applied.result.outcome != change_outcome::repeated && applied.result.outcome != change_outcome::ignored;
    });
    return found == changes.end() ? nullptr : &*found;
}

// Whether a retry cannot succeed after the error.
bool isPermanent(std::error_code error)
{
    return error == platform_error::rejected || error == platform_error::tooLarge;
}

} // namespace

// The first delay after a failure is this fraction of the longest one.
constexpr int FirstDelayDivisor = 20;

class config_publisher_private
{
public:
    config_publisher_private(config_publisher_settings options, platform_log &log)
        : settings(std::move(options))
        , platform(log)
        , reader(log, settings.stream)
        , random(std::random_device{}())
        , delays(settings.retryLimit / FirstDelayDivisor, settings.retryLimit)
    {
    }

    const config_publisher_settings settings;
    platform_log &platform;
    config_reader reader;
    std::minstd_rand random;
    backoff delays;

    bool waitForRetry(mono_time until);
    publish_result append(const change_record &change);
    publish_result current(std::error_code error, const std::string &file) const;
};

// Sleeps before the next attempt. Returns false at once if the delay would exceed the deadline.
bool config_publisher_private::waitForRetry(mono_time until)
{
    const auto delay = delays.next(random);
    if (mono_clock::now() + delay >= until) {
        return false;
    }
    std::this_thread::sleep_for(delay);
    return true;
}

publish_result config_publisher_private::current(std::error_code error, const std::string &file) const
{
    const auto found = reader.state().files().find(file);
    if (found == reader.state().files().end()) {
        return {.error = error, .version = 0, .author = {}, .problem = std::nullopt};
    }
    return {.error = error, .version = found->second.version, .author = found->second.author, .problem = std::nullopt};
}

// Retries the append until an attempt is known to have succeeded, and reads until the record has been applied.
publish_result config_publisher_private::append(const change_record &change)
{
    const std::string body = encodeRecord(change);
    const mono_time until = mono_clock::now() + settings.timeout;
    bool isAppended = false;
    bool isMaybeAppended = false;
    delays.reset();
    do {
        if (!isAppended) {
            std::uint64_t offset = 0;
            const std::error_code error = platform.append(settings.stream, body, settings.appendTimeout, offset);
            if (isPermanent(error)) {
                return current(configErrorFromPlatform(error), change.file);
            }
            isAppended = !error;
            isMaybeAppended = isMaybeAppended || (error && error != platform_error::unavailable);
        }
        std::vector<applied_change> changes;
        const std::error_code error = reader.poll(isAppended ? ReadBackWait : std::chrono::milliseconds(0), changes);
        if (const applied_change *applied = findResult(changes, change.appendId)) {
            const change_result &result = applied->result;
            const bool isAccepted = result.outcome == change_outcome::accepted;
            const config_error rejection = result.outcome == change_outcome::conflict ? config_error::conflict : config_error::invalid;
            return {
                .error = isAccepted ? std::error_code() : std::error_code(rejection),
                .version = result.currentVersion,
                .author = result.currentAuthor,
                .problem = result.problem,
            };
        }
        if (isAppended && !error) {
            continue; // The read has already waited.
        }
        if (!waitForRetry(until)) {
            break;
        }
    } while (mono_clock::now() < until);
    return current(isAppended || isMaybeAppended ? config_error::outcomeUnknown : config_error::logUnavailable, change.file);
}

} // namespace detail

config_publisher::config_publisher(config_publisher_settings settings, platform_log &platform)
    : d(std::make_unique<detail::config_publisher_private>(std::move(settings), platform))
{
}

config_publisher::~config_publisher() = default;

std::error_code config_publisher::load()
{
    const mono_time until = mono_clock::now() + d->settings.timeout;
    std::vector<applied_change> changes;
    d->delays.reset();
    do {
        const std::error_code error = d->reader.poll(std::chrono::milliseconds(0), changes);
        if (error == config_error::logRejected || (error && !d->waitForRetry(until))) {
            return error;
        }
    } while (!d->reader.isCurrent());
    return {};
}

publish_result config_publisher::publish(const std::string &file, std::optional<std::string> content, std::optional<std::uint64_t> base)
{
    publish_result known = d->current({}, file);
    if (!content && known.version == 0 && !base) {
        known.error = config_error::absent;
        return known;
    }
    if (content) {
        known.problem = checkFile(file, *content);
    }
    if (known.problem) {
        known.error = config_error::invalid;
        return known;
    }
    return d->append({
        .file = file,
        .content = std::move(content),
        .baseVersion = base.value_or(known.version),
        .appendId = detail::makeAppendId(),
        .author = d->settings.author,
    });
}

const config_state &config_publisher::state() const
{
    return d->reader.state();
}

bool config_publisher::hasGap() const
{
    return d->reader.hasGap();
}

} // namespace teaselward
