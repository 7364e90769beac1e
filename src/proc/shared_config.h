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
 * Copies of the configuration that entries hand to each other. The thread that follows the log asks it during an outage; the
 * RPC thread offers the own copy to peers and stores theirs.
 */
class shared_config : public snapshot_source, public peer_config_source
{
public:
    /** Reads the copy of this process. */
    using local_copy_function = std::function<std::optional<config_copy>()>;

    /**
     * Connects or disconnects the copy of this process.
     * @param own reads the copy; null if there is none any more
     */
    void setLocalCopy(local_copy_function own);

    std::uint64_t offset() const override;
    config_snapshot copy() const override;
    bool wants(std::uint64_t offset) const override;
    void receive(config_snapshot snapshot) override;
    std::optional<config_copy> newest(std::uint64_t above) override;

private:
    std::optional<config_copy> localCopy() const;

    mutable absl::Mutex m_mutex;
    local_copy_function m_localCopy ABSL_GUARDED_BY(m_mutex);
    std::optional<config_copy> m_received ABSL_GUARDED_BY(m_mutex);
};

} // namespace teaselward
