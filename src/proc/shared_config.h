#pragma once

#include "config/config_copy.h"
#include "config/peer_config_source.h"
#include "rpc/snapshot_source.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <functional>
#include <optional>

namespace teaselward
{

/**
 * Exchanges copies of the configuration between entries. The RPC thread offers the local copy to peers and stores the newest
 * one received from them; the thread that follows the platform log reads that one while the log is unavailable.
 */
class shared_config : public snapshot_source, public peer_config_source
{
public:
    /** Returns the copy of this process, or nothing if it has none yet. */
    using local_copy_function = std::function<std::optional<config_copy>()>;

    /**
     * Sets the function that returns the copy of this process.
     * @param own the function; null before the object that it reads from is destroyed
     */
    void setLocalCopy(local_copy_function own);

    std::uint64_t offset() const override;
    config_snapshot copy() const override;
    bool isNewer(std::uint64_t offset) const override;
    void receive(config_snapshot snapshot) override;
    std::optional<config_copy> newest(std::uint64_t above) override;

private:
    std::optional<config_copy> localCopy() const;

    mutable absl::Mutex m_mutex;
    local_copy_function m_localCopy ABSL_GUARDED_BY(m_mutex);
    std::optional<config_copy> m_received ABSL_GUARDED_BY(m_mutex);
};

} // namespace teaselward
