#pragma once

#include <absl/container/flat_hash_set.h>

#include <deque>
#include <string>
#include <vector>

namespace teaselward
{

/** Set of the newest append ids of the stream, with at most RecentIdLimit ids. */
class recent_ids
{
public:
    /**
     * Adds an id and removes the oldest one if there are too many.
     * @param id the id
     * @return false if the set already contains the id
     */
    bool add(const std::string &id);

    /** @return the ids, oldest first */
    std::vector<std::string> list() const;

private:
    std::deque<std::string> m_order;
    absl::flat_hash_set<std::string> m_known;
};

} // namespace teaselward
