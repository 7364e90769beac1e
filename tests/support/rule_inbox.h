#pragma once

#include "base/bounded_ring.h"
#include "job/entry_event.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace teaselward
{

/** Receives the rule sets that a configuration follower pushes, in place of a decision thread. */
class rule_inbox
{
public:
    /** @return the ring that the follower pushes to */
    bounded_ring<entry_event> &ring();

    /**
     * Pops rule sets until one satisfies a condition. The test fails if the offset of the rules decreases.
     * @param condition the condition
     * @param timeout longest time to wait
     * @return the matching rules, or null on timeout
     */
    std::shared_ptr<const rule_set> waitFor(const std::function<bool(const rule_set &)> &condition, std::chrono::milliseconds timeout);

    /**
     * Pops rule sets until one has a kind with the given weight.
     * @param kind name of the kind
     * @param weight expected weight
     * @param timeout longest time to wait
     * @return false on timeout
     */
    bool waitForWeight(const std::string &kind, double weight, std::chrono::milliseconds timeout);

private:
    bounded_ring<entry_event> m_ring{64};
    std::shared_ptr<const rule_set> m_last;
};

} // namespace teaselward
