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
 * Reads the configuration stream and folds it. It first reads all that the log keeps, adopts the newest snapshot and applies
 * the changes above what that covers; from then on it applies each change as it comes. One thread calls it.
 */
class config_reader
{
public:
    /**
     * Creates a reader that has read nothing.
     * @param platform client of the platform log; it must outlive the reader
     * @param stream name of the stream
     * @param peers asked when the log lacks records that this reader needs; may be null, and must outlive the reader
     */
    config_reader(platform_log &platform, std::string stream, peer_config_source *peers = nullptr);
    ~config_reader();

    config_reader(const config_reader &) = delete;
    config_reader &operator=(const config_reader &) = delete;

    /**
     * Reads one page.
     * @param wait longest time to wait for a record; not used before the reader is current
     * @param changes the changes that were folded are appended here
     * @return no error, or an error of the configuration layer, after which the reader can read on
     */
    std::error_code poll(std::chrono::milliseconds wait, std::vector<applied_change> &changes);

    /**
     * Takes the newest copy from the peers, for a process that cannot reach the log.
     * @return whether there was one that is newer than the state of this reader
     */
    bool adoptFromPeers();

    /** @return whether the reader has reached the end of the stream once; what comes later is as old as this reader's count */
    bool isCurrent() const;

    /** @return the folded state */
    const config_state &state() const;

    /** @return whether records were dropped that neither this reader, a snapshot nor a peer had folded */
    bool hasGap() const;

    /** @return offset of the oldest record that a new reader needs; zero if there is none or it is unknown */
    std::uint64_t oldestNeeded() const;

    /** @return lowest offset that the log keeps, by the last page */
    std::uint64_t firstRetained() const;

    /** @return lowest offset that the log has not given out, by the last page */
    std::uint64_t nextOffset() const;

private:
    std::unique_ptr<detail::config_reader_private> d;
};

} // namespace teaselward
