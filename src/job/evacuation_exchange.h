#pragma once

#include "job/entry_context.h"
#include "job/event/evacuations_reported.h"
#include "member/evacuation_register.h"

#include <cstddef>
#include <set>
#include <string>

namespace teaselward
{

/**
 * Keeps the state of the evacuations at an entry: applies each newer state to the endpoints and sends it to the peers and agents.
 * Sends nothing while no evacuation has ever been known to this process.
 */
class evacuation_exchange
{
public:
    /** @param context state shared by the parts of the entry */
    explicit evacuation_exchange(entry_context &context);

    /**
     * Applies a state from the store or another process.
     * @param event the state and its source
     * @return whether the evacuated failure domains have changed
     */
    bool report(const evacuations_reported &event);

    /** @return number of failure domains that are evacuated */
    std::size_t domains() const;

private:
    void apply(const evacuations_reported &event, const std::set<std::string> &former);
    void send();
    void answerOlder(const evacuations_reported &event) const;

    entry_context &m_context;
    evacuation_register m_register;
    bool m_isShared = false; ///< A state with an evacuated failure domain was sent, so later ones must be sent too.
};

} // namespace teaselward
