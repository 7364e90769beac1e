#pragma once

#include "core/route_table.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <utility>

namespace teaselward
{

/** Routes in force, set by the thread that follows them and read by the listeners. */
class shared_routes
{
public:
    /**
     * Brings a version into force unless a newer one is.
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
