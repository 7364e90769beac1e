#pragma once

#include "base/bounded_ring.h"
#include "job/entry_event.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace teaselward
{

/** Ring of a decision thread that only gets rules. */
class rule_inbox
{
public:
    /** @return the ring */
    bounded_ring<entry_event> &ring();

    /**
     * Takes rules until they satisfy a condition. An offset that goes down fails the test.
     * @param condition the condition
     * @param timeout longest time to wait
     * @return the rules, or null if the condition was not met in time
     */
    std::shared_ptr<const rule_set> waitFor(const std::function<bool(const rule_set &)> &condition, std::chrono::milliseconds timeout);

    /**
     * Takes rules until they have a kind of a given weight.
     * @param kind name of the kind
     * @param weight its weight
     * @param timeout longest time to wait
     * @return whether they came in time
     */
    bool waitForWeight(const std::string &kind, double weight, std::chrono::milliseconds timeout);

private:
    bounded_ring<entry_event> m_ring{64};
    std::shared_ptr<const rule_set> m_last;
};

} // namespace teaselward
