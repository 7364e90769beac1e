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
 * Folds changes in the order of their offsets. What it decides depends on nothing but the records, so that all readers
 * decide the same. It knows no log, no codec and no clock.
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
     * @param offset offset of its record; nothing happens unless it is above offset()
     * @param change the change
     * @return what became of it
     */
    change_result apply(std::uint64_t offset, const change_record &change);

    /**
     * Moves past a record that changes no file.
     * @param offset offset of the record; a lower one than offset() has no effect
     */
    void skipTo(std::uint64_t offset);

    /**
     * Takes over the result of another reader, unless this reader is as far.
     * @param snapshot the result
     * @return whether it was taken
     */
    bool adopt(const snapshot_record &snapshot);

    /** @return the present state, as another reader can adopt it */
    snapshot_record snapshot() const;

    /** @return the current files */
    const config_files &files() const;

    /** @return offset of the last record that was folded; it never goes down */
    std::uint64_t offset() const;

private:
    std::unique_ptr<detail::config_state_private> d;
};

} // namespace teaselward
