#include "job/entry_core.h"

#include "job/entry_core_private.h"

namespace teaselward
{

entry_core::entry_core(const entry_core_settings &settings, mono_time start, logger &log)
    : d(std::make_unique<detail::entry_core_private>(settings, start, log))
{
}

entry_core::~entry_core() = default;

void entry_core::handle(const entry_event &event, mono_time now, std::vector<entry_action> &actions)
{
    d->handle(event, now, actions);
}

mono_time entry_core::nextDue() const
{
    return d->nextDue();
}

} // namespace teaselward
