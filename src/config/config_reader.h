#pragma once

#include "config/applied_change.h"
#include "config/config_state.h"
#include "config/peer_config_source.h"
#include "platform/platform_log.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace teaselward
{

namespace detail
{
class config_reader_private;
}

/**
 * Reads the configuration stream and applies its changes. It first reads all retained records, adopts the newest snapshot and
 * applies the changes after the offset that the snapshot covers; then it applies each new change as it arrives. Not thread-safe.
 */
class config_reader
{
public:
    /**
     * Creates a reader with an empty state.
     * @param platform client of the platform log; it must outlive the reader
     * @param stream name of the stream
     * @param peers queried if the log has dropped records that this reader needs; may be null, and must outlive the reader
     */
    config_reader(platform_log &platform, std::string stream, peer_config_source *peers = nullptr);
    ~config_reader();

    config_reader(const config_reader &) = delete;
    config_reader &operator=(const config_reader &) = delete;

    /**
     * Reads one page.
     * @param wait longest time to wait for a record; ignored until the reader is current
     * @param changes receives the applied changes, which are appended
     * @return no error, or an error of the configuration layer, after which reading can be retried
     */
    std::error_code poll(std::chrono::milliseconds wait, std::vector<applied_change> &changes);

    /**
     * Adopts the newest configuration of the peers, for a process that cannot reach the log.
     * @return whether a peer had a newer state than this reader
     */
    bool adoptFromPeers();

    /** @return whether the reader has reached the end of the stream, so that it receives later records as they are appended */
    bool isCurrent() const;

    /** @return the current state */
    const config_state &state() const;

    /** @return whether records were dropped that neither this reader nor a snapshot nor a peer includes */
    bool hasGap() const;

    /** @return offset of the oldest record that a new reader needs; zero if there is none or it is not known */
    std::uint64_t oldestNeeded() const;

    /** @return lowest offset that the log retains, according to the last page */
    std::uint64_t firstRetained() const;

    /** @return offset of the next record to be appended, according to the last page */
    std::uint64_t nextOffset() const;

private:
    std::unique_ptr<detail::config_reader_private> d;
};

} // namespace teaselward
