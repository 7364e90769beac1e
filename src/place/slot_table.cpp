#include "place/slot_table.h"

#include <algorithm>
#include <map>

namespace teaselward
{

namespace detail
{

/** Agents in the order of their ids; the first one with a credit gets the task. */
class slot_table_private
{
public:
    // Finds the first agent that offers the kind and has a credit.
    endpoint_status *find(std::string_view kind)
    {
        for (auto &[id, agent] : agents) {
            if (agent.credits > 0 && std::ranges::find(agent.info.kinds, kind) != agent.info.kinds.end()) {
                return &agent;
            }
        }
        return nullptr;
    }

    std::map<std::uint64_t, endpoint_status> agents;
};

} // namespace detail

slot_table::slot_table(std::string_view /*strategy*/, std::uint64_t /*seed*/)
    : d(std::make_unique<detail::slot_table_private>())
{
}

slot_table::~slot_table() = default;

void slot_table::join(const agent_info &info, std::uint32_t credits, std::chrono::milliseconds /*lease*/, mono_time /*now*/)
{
    endpoint_status &agent = d->agents[info.id.value];
    agent.info = info;
    agent.credits = credits;
}

void slot_table::leave(const agent_id &agent)
{
    d->agents.erase(agent.value);
}

void slot_table::addCredits(const agent_id &agent, std::int32_t delta)
{
    if (const auto found = d->agents.find(agent.value); found != d->agents.end()) {
        const auto credits = static_cast<std::int64_t>(found->second.credits) + delta;
        found->second.credits = static_cast<std::uint32_t>(std::max<std::int64_t>(0, credits));
    }
}

bool slot_table::isPlaceable(std::string_view kind, mono_time /*now*/)
{
    return d->find(kind) != nullptr;
}

std::optional<agent_id> slot_table::acquire(std::string_view kind, mono_time /*now*/)
{
    endpoint_status *agent = d->find(kind);
    if (agent == nullptr) {
        return std::nullopt;
    }
    --agent->credits;
    ++agent->outstanding;
    return agent->info.id;
}

void slot_table::release(const agent_id &agent, std::string_view /*kind*/, const task_outcome & /*outcome*/, std::int32_t credits, mono_time /*now*/)
{
    addCredits(agent, credits);
    if (const auto found = d->agents.find(agent.value); found != d->agents.end() && found->second.outstanding > 0) {
        --found->second.outstanding;
    }
}

std::size_t slot_table::slots(std::string_view kind) const
{
    std::size_t sum = 0;
    for (const auto &[id, agent] : d->agents) {
        if (std::ranges::find(agent.info.kinds, kind) != agent.info.kinds.end()) {
            sum += agent.info.slots;
        }
    }
    return sum;
}

std::vector<agent_id> slot_table::agents() const
{
    std::vector<agent_id> ids;
    for (const auto &[id, agent] : d->agents) {
        ids.push_back({id});
    }
    return ids;
}

mono_time slot_table::nextDue() const
{
    return mono_time::max();
}

std::vector<endpoint_status> slot_table::status() const
{
    std::vector<endpoint_status> all;
    for (const auto &[id, agent] : d->agents) {
        all.push_back(agent);
    }
    return all;
}

} // namespace teaselward
