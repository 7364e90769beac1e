#pragma once

#include <absl/container/flat_hash_set.h>

#include <deque>
#include <string>
#include <vector>

namespace teaselward
{

/** The newest append ids of the stream, up to RecentIdLimit of them. */
class recent_ids
{
public:
    /**
     * Adds an id and forgets the oldest one if there are too many.
     * @param id the id
     * @return false if it is known
     */
    bool add(const std::string &id);

    /** @return the ids, oldest first */
    std::vector<std::string> list() const;

private:
    std::deque<std::string> m_order;
    absl::flat_hash_set<std::string> m_known;
};

} // namespace teaselward
