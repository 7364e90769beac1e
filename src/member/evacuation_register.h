#pragma once

#include "core/evacuation_state.h"
#include "member/evacuation_merge.h"

#include <string>

namespace teaselward
{

/**
 * Newest known state of the evacuations. All of the operators' records are in one partition, so their offsets order all states,
 * whichever way they arrive.
 */
class evacuation_register
{
public:
    /**
     * Merges a state. The one with the higher offset is kept.
     * @param received the state
     * @return its effect
     */
    evacuation_merge merge(const evacuation_state &received);

    /** @return the newest known state; offset zero if none is known */
    const evacuation_state &state() const;

    /**
     * Checks whether a failure domain is evacuated.
     * @param domain name of the failure domain
     */
    bool isEvacuated(const std::string &domain) const;

private:
    evacuation_state m_state;
};

} // namespace teaselward
