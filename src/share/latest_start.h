#pragma once

#include "base/clock.h"

#include <optional>

namespace teaselward
{

/**
 * Decides whether a job that an agent has returned after the limit of its waiting time may still start. Answers the load of several busy entries
 * that use the same endpoints: a start that finds its slot taken waits at the agent for longer than the limit, while slots become free elsewhere.
 * @param due time until which a start still meets the objective of the job; empty if it has none
 * @param isPlaceable whether the entry knows of a free slot for its kind
 * @param now current time
 * @return time at which the job is refused if it has not started by then; empty if it is to be refused at once
 */
std::optional<mono_time> latestStart(std::optional<mono_time> due, bool isPlaceable, mono_time now);

} // namespace teaselward
