#include "agent/agent_core.h"

#include "agent/agent_core_private.h"

namespace teaselward
{

agent_core::agent_core(const agent_core_settings &settings, logger &log)
    : d(std::make_unique<detail::agent_core_private>(settings, log))
{
}

agent_core::~agent_core() = default;

void agent_core::handle(const agent_event &event, mono_time now, std::vector<agent_action> &actions)
{
    d->handle(event, now, actions);
}

mono_time agent_core::nextDue() const
{
    return d->nextDue();
}

} // namespace teaselward
