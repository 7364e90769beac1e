#include "config/config_follower.h"

#include "base/backoff.h"
#include "base/duty_thread.h"
#include "base/stop_signal.h"
#include "config/config_error.h"
#include "config/config_reader.h"
#include "config/record_codec.h"
#include "config/rule_publisher.h"
#include "config/snapshot_publisher.h"
#include "config/system_wall_clock.h"

#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace teaselward
{

namespace detail
{

namespace
{

// Delay before the next attempt to push rules into a full ring.
constexpr std::chrono::milliseconds FullRingDelay(20);

// The first delay after a failure is this fraction of the longest one.
constexpr int FirstDelayDivisor = 20;

const system_wall_clock SystemClock;

// Indexed by change_outcome.
constexpr std::string_view OutcomeTexts[] = {"accepted", "conflict", "invalid", "repeated", "ignored"};

} // namespace

class config_follower_private
{
public:
    config_follower_private(const config_follower_settings &options,
                            platform_log &platform,
                            bounded_ring<entry_event> &events,
                            logger &output,
                            peer_config_source *peers,
                            const wall_clock *clock,
                            std::uint64_t seed);

    const config_follower_settings settings;
    logger &log;
    config_reader reader;
    rule_publisher publisher;
    snapshot_publisher snapshots;
    std::minstd_rand random;
    backoff delays;
    bool isLogDown = false;
    bool wasCurrent = false;
    bool isLogBehind = false; // The log ended below the active offset at the last read; logged once.

    stop_signal stopping;
    mutable absl::Mutex mutex;
    std::shared_ptr<const snapshot_record> peerSnapshot ABSL_GUARDED_BY(mutex); // Returned by snapshot().

    std::unique_ptr<duty_thread> thread; // Last member, so that the thread ends before the other members are destroyed.

    void run();
    void readOnce();
    void handleChanges(const std::vector<applied_change> &changes);
    void handleOutage(std::error_code error, mono_time start);
    void activate();
    void sleepUntil(mono_time until);
    bool shouldStop() const;
    std::chrono::milliseconds limitWait(std::chrono::milliseconds wait) const;
    void write(const std::string &line);
};

config_follower_private::config_follower_private(const config_follower_settings &options,
                                                 platform_log &platform,
                                                 bounded_ring<entry_event> &events,
                                                 logger &output,
                                                 peer_config_source *peers,
                                                 const wall_clock *clock,
                                                 std::uint64_t seed)
    : settings(options)
    , log(output)
    , reader(platform, options.stream, peers)
    , publisher(events, clock == nullptr ? SystemClock : *clock, output)
    , snapshots(settings, platform, output, seed)
    , random(static_cast<std::minstd_rand::result_type>(seed))
    , delays(options.retryLimit / FirstDelayDivisor, options.retryLimit)
{
}

// Reads records, evaluates rules in local time and publishes snapshots until the follower is stopped. All waits are bounded.
void config_follower_private::run()
{
    while (!shouldStop()) {
        readOnce();
        publisher.evaluate();
        if (!isLogDown && reader.isCurrent()) {
            snapshots.publishIfDue(reader);
        }
    }
}

void config_follower_private::readOnce()
{
    std::vector<applied_change> changes;
    const mono_time start = mono_clock::now();
    // While the log is down, reads do not wait for new records, so that its recovery is noticed at once.
    const auto wait = isLogDown ? std::chrono::milliseconds(0) : limitWait(settings.pollWait);
    const std::error_code error = reader.poll(wait, changes);
    if (error) {
        handleOutage(error, start);
        return;
    }
    if (std::exchange(isLogDown, false)) {
        write("The platform log answers again.");
        delays.reset();
    }
    handleChanges(changes);
}

// Logs each change and activates the accepted ones. The changes that are read during the start are logged as one line.
void config_follower_private::handleChanges(const std::vector<applied_change> &changes)
{
    if (!reader.isCurrent()) {
        wasCurrent = false;
        return;
    }
    const bool isStart = !std::exchange(wasCurrent, true);
    bool isAccepted = false;
    for (const applied_change &applied : changes) {
        isAccepted = isAccepted || applied.result.outcome == change_outcome::accepted;
        if (!isStart) {
            write("Read a change: " + std::string(OutcomeTexts[static_cast<std::size_t>(applied.result.outcome)]) + ". offset=" + std::to_string(applied.offset)
                  + " file=" + applied.change.file + " author=" + applied.change.author
                  + (applied.result.problem ? " why=" + applied.result.problem->text() : std::string()));
        }
    }
    if (isStart) {
        write("Read the configuration. offset=" + std::to_string(reader.state().offset()) + " files=" + std::to_string(reader.state().files().size()));
        if (reader.hasGap()) {
            write("The log has dropped changes that no snapshot includes. Publish the folder again with 'teaselward config sync'.");
        }
    }
    if (isStart || isAccepted) {
        activate();
    }
    snapshots.observe(reader, !isStart, mono_clock::now());
    const bool isBehind = reader.nextOffset() <= reader.state().offset();
    if (isBehind && !isLogBehind) {
        write("The log ends below the active offset; changes have no effect until the log has passed it. force=" + std::to_string(reader.state().offset()));
    }
    isLogBehind = isBehind;
}

// Keeps the active configuration unless a peer has a newer one, as happens when only this process cannot reach the log. The
// duration of the failed read counts towards the delay.
void config_follower_private::handleOutage(std::error_code error, mono_time start)
{
    if (!std::exchange(isLogDown, true)) {
        write("Cannot read the platform log. error=" + error.message());
    }
    if (reader.adoptFromPeers()) {
        write("Adopted the configuration of a peer. offset=" + std::to_string(reader.state().offset()));
        activate();
    }
    sleepUntil(start + delays.next(random));
}

// The copy for peers is set before the rules are active: a process that sees them active may request the copy.
void config_follower_private::activate()
{
    publisher.setFiles(reader.state());
    {
        auto copy = std::make_shared<const snapshot_record>(reader.state().snapshot());
        absl::MutexLock lock(&mutex);
        peerSnapshot = std::move(copy);
    }
    publisher.evaluate();
}

// Sleeps in intervals that end at the boundaries of local time, so that peaks also begin and end during an outage.
void config_follower_private::sleepUntil(mono_time until)
{
    while (true) {
        publisher.evaluate();
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - mono_clock::now());
        if (left <= left.zero()) {
            return;
        }
        if (stopping.waitFor(limitWait(left))) {
            return;
        }
    }
}

bool config_follower_private::shouldStop() const
{
    return stopping.isNotified();
}

// Limits a wait to the next boundary of local time, the next attempt to send rules, and the poll interval. The latter bounds the
// time until a change of the wall clock is noticed.
std::chrono::milliseconds config_follower_private::limitWait(std::chrono::milliseconds wait) const
{
    wait = std::min(wait, settings.pollWait);
    if (publisher.hasUnsent()) {
        wait = std::min(wait, FullRingDelay);
    }
    return std::min(wait, publisher.timeToBoundary().value_or(wait));
}

void config_follower_private::write(const std::string &line)
{
    if (log.isEnabled()) {
        log.write(log_part::config, line);
    }
}

} // namespace detail

config_follower::config_follower(const config_follower_settings &settings,
                                 platform_log &platform,
                                 bounded_ring<entry_event> &events,
                                 logger &log,
                                 peer_config_source *peers,
                                 const wall_clock *clock)
    : d(std::make_unique<detail::config_follower_private>(settings, platform, events, log, peers, clock, std::random_device{}()))
{
    d->thread = std::make_unique<duty_thread>("config", [this] {
        d->run();
    });
}

config_follower::~config_follower()
{
    stop();
}

std::optional<config_copy> config_follower::snapshot() const
{
    std::shared_ptr<const snapshot_record> copy;
    {
        absl::MutexLock lock(&d->mutex);
        copy = d->peerSnapshot;
    }
    if (!copy) {
        return std::nullopt;
    }
    return config_copy{.offset = copy->covers, .text = encodeRecord(*copy)};
}

void config_follower::stop()
{
    d->stopping.notify();
    d->thread.reset();
}

} // namespace teaselward
