#include "config/config_reader.h"

#include "config/config_error.h"
#include "config/record_codec.h"
#include "platform/platform_error.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

namespace teaselward
{

namespace detail
{

class config_reader_private
{
public:
    config_reader_private(platform_log &log, std::string name, peer_config_source *source)
        : platform(log)
        , stream(std::move(name))
        , peers(source)
    {
    }

    platform_log &platform;
    const std::string stream;
    peer_config_source *const peers;

    config_state state;
    bool isCurrent = false; // The end of the stream has been reached since the last gap.
    bool hasGap = false;
    std::uint64_t readOffset = 1; // Offset of the next read.
    std::uint64_t firstRetained = 0;
    std::uint64_t nextOffset = 0;
    std::uint64_t firstChange = 0; // Offset of the oldest change that was read.
    bool startsMidway = false; // Reading started after a copy from a peer, so that older, unread records may be needed too.
    std::uint64_t lastChange = 0; // Offset of the newest change that was read.
    std::uint64_t snapshotOffset = 0; // Offset of the record with the snapshot that covers most.
    std::uint64_t snapshotCovers = 0;

    // Records read since the start or the last restart; they are applied together once the end of the stream is reached.
    std::uint64_t collectFrom = 1;
    std::optional<snapshot_record> newestSnapshot;
    std::vector<std::pair<std::uint64_t, change_record>> collectedChanges;

    void restartAt(std::uint64_t offset);
    void processRecord(const log_record &record, std::vector<applied_change> &changes);
    void processChange(std::uint64_t offset, change_record change, std::vector<applied_change> &changes);
    void processSnapshot(std::uint64_t offset, snapshot_record snapshot);
    void applyCollected(std::vector<applied_change> &changes);
    bool adoptFromPeers();
};

// Restarts reading at an offset. The state is kept; a snapshot replaces it only if it is newer.
void config_reader_private::restartAt(std::uint64_t offset)
{
    isCurrent = false;
    readOffset = offset;
    collectFrom = offset;
    firstChange = 0;
    startsMidway = false;
    newestSnapshot.reset();
    collectedChanges.clear();
}

void config_reader_private::processRecord(const log_record &record, std::vector<applied_change> &changes)
{
    readOffset = record.offset + 1;
    auto decoded = decodeRecord(record.body);
    if (!decoded) {
        return;
    }
    if (auto *change = std::get_if<change_record>(&*decoded)) {
        processChange(record.offset, std::move(*change), changes);
    } else {
        processSnapshot(record.offset, std::move(std::get<snapshot_record>(*decoded)));
    }
}

void config_reader_private::processChange(std::uint64_t offset, change_record change, std::vector<applied_change> &changes)
{
    if (firstChange == 0) {
        firstChange = offset;
    }
    lastChange = offset;
    if (!isCurrent) {
        if (!newestSnapshot || offset > newestSnapshot->covers) {
            collectedChanges.emplace_back(offset, std::move(change));
        }
        return;
    }
    change_result result = state.apply(offset, change);
    changes.push_back({.offset = offset, .change = std::move(change), .result = std::move(result)});
}

// A current reader is ahead of every snapshot and only records where a new reader finds it. A snapshot that does not include
// the newest change is ignored: retention drops that change before the record of the snapshot, so the snapshot cannot replace it.
void config_reader_private::processSnapshot(std::uint64_t offset, snapshot_record snapshot)
{
    if (snapshot.covers >= offset || snapshot.covers < snapshotCovers || (isCurrent && snapshot.covers < lastChange)) {
        return;
    }
    snapshotOffset = offset;
    snapshotCovers = snapshot.covers;
    if (!isCurrent) {
        std::erase_if(collectedChanges, [&snapshot](const auto &entry) {
            return entry.first <= snapshot.covers;
        });
        newestSnapshot = std::move(snapshot);
    }
}

bool config_reader_private::adoptFromPeers()
{
    const auto copy = peers == nullptr ? std::nullopt : peers->newest(state.offset());
    const auto record = copy ? decodeRecord(copy->text) : std::nullopt;
    const auto *snapshot = record ? std::get_if<snapshot_record>(&*record) : nullptr;
    if (snapshot == nullptr || snapshot->covers != copy->offset || !state.adopt(*snapshot)) {
        return false;
    }
    return true;
}

// Applies the collected changes at the end of the stream. There is no gap if the snapshot, a peer or the previous state reaches
// up to the record before the first one that was read.
void config_reader_private::applyCollected(std::vector<applied_change> &changes)
{
    const auto isContiguous = [this] {
        return state.offset() + 1 >= collectFrom;
    };
    if (newestSnapshot) {
        state.adopt(*newestSnapshot);
    }
    if (!isContiguous()) {
        adoptFromPeers();
    }
    hasGap = !isContiguous();
    isCurrent = true;
    newestSnapshot.reset();
    for (auto &[offset, change] : std::exchange(collectedChanges, {})) {
        change_result result = state.apply(offset, change);
        changes.push_back({.offset = offset, .change = std::move(change), .result = std::move(result)});
    }
}

} // namespace detail

config_reader::config_reader(platform_log &platform, std::string stream, peer_config_source *peers)
    : d(std::make_unique<detail::config_reader_private>(platform, std::move(stream), peers))
{
}

config_reader::~config_reader() = default;

std::error_code config_reader::poll(std::chrono::milliseconds wait, std::vector<applied_change> &changes)
{
    log_page page;
    const auto noWait = std::chrono::milliseconds(0);
    const std::error_code error = d->platform.read(d->stream, d->readOffset, d->isCurrent ? wait : noWait, page);
    if (error == platform_error::belowRetention && page.first > d->readOffset) {
        d->firstRetained = page.first;
        d->nextOffset = page.next;
        d->restartAt(page.first);
        return {};
    }
    if (error) {
        return configErrorFromPlatform(error);
    }
    d->firstRetained = page.first;
    d->nextOffset = page.next;
    for (const log_record &record : page.records) {
        d->processRecord(record, changes);
    }
    if (!d->isCurrent && (page.records.empty() || d->readOffset >= page.next)) {
        d->applyCollected(changes);
    }
    if (d->isCurrent) {
        d->state.skipTo(d->readOffset - 1);
    }
    return {};
}

bool config_reader::adoptFromPeers()
{
    if (!d->adoptFromPeers()) {
        return false;
    }
    // The stream is read from the adopted offset; if the log has dropped records after it, the reader restarts.
    d->restartAt(d->state.offset() + 1);
    d->startsMidway = true;
    return true;
}

bool config_reader::isCurrent() const
{
    return d->isCurrent;
}

const config_state &config_reader::state() const
{
    return d->state;
}

bool config_reader::hasGap() const
{
    return d->hasGap;
}

std::uint64_t config_reader::oldestNeeded() const
{
    if (d->snapshotOffset != 0) {
        return d->snapshotOffset;
    }
    return d->startsMidway ? 0 : d->firstChange;
}

std::uint64_t config_reader::firstRetained() const
{
    return d->firstRetained;
}

std::uint64_t config_reader::nextOffset() const
{
    return d->nextOffset;
}

} // namespace teaselward
