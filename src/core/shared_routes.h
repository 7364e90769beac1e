#pragma once

#include "core/route_table.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <utility>

namespace teaselward
{

/** Active routes, set by the route follower and read by the listeners. Thread-safe. */
class shared_routes
{
public:
    /**
     * Activates a version unless the same or a newer one is active.
     * @param table the routes
     */
    void set(std::shared_ptr<const route_table> table)
    {
        const absl::MutexLock lock(&m_mutex);
        if (!m_table || m_table->version() < table->version()) {
            m_table = std::move(table);
        }
    }

    /** @return the routes, or null before the first version */
    std::shared_ptr<const route_table> get() const
    {
        const absl::MutexLock lock(&m_mutex);
        return m_table;
    }

private:
    mutable absl::Mutex m_mutex;
    std::shared_ptr<const route_table> m_table ABSL_GUARDED_BY(m_mutex);
};

} // namespace teaselward
