#pragma once

#include "config/change_record.h"
#include "config/change_result.h"
#include "config/config_files.h"
#include "config/snapshot_record.h"

#include <cstdint>
#include <memory>

namespace teaselward
{

namespace detail
{
class config_state_private;
}

/**
 * Applies changes in the order of their offsets. The result depends only on the records, so that all readers arrive at the
 * same state. Has no access to the log, the codec or a clock.
 */
class config_state
{
public:
    config_state();
    ~config_state();

    config_state(const config_state &) = delete;
    config_state &operator=(const config_state &) = delete;

    /**
     * Applies a change.
     * @param offset offset of its record; the change is ignored unless this is above offset()
     * @param change the change
     * @return result of the change
     */
    change_result apply(std::uint64_t offset, const change_record &change);

    /**
     * Skips a record that changes no file.
     * @param offset offset of the record; has no effect if it is below offset()
     */
    void skipTo(std::uint64_t offset);

    /**
     * Replaces the state by the snapshot of another reader if that includes later records.
     * @param snapshot the snapshot
     * @return whether the snapshot was adopted
     */
    bool adopt(const snapshot_record &snapshot);

    /** @return the current state in a form that another reader can adopt */
    snapshot_record snapshot() const;

    /** @return the current files */
    const config_files &files() const;

    /** @return offset of the last record that was applied or skipped; never decreases */
    std::uint64_t offset() const;

private:
    std::unique_ptr<detail::config_state_private> d;
};

} // namespace teaselward
