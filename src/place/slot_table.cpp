#include "place/slot_table.h"

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <vector>

namespace teaselward
{

namespace detail
{

/** State of slot_table. */
class slot_table_private
{
public:
    /** One known endpoint. */
    struct record {
        agent_info info;
        std::int32_t credits = 0;
        std::uint32_t outstanding = 0;
        bool usable = true;
    };

    std::vector<record> records;

    record *find(const agent_id &agent)
    {
        const auto found = std::find_if(records.begin(), records.end(), [&](const record &item) {
            return item.info.id == agent;
        });
        return found == records.end() ? nullptr : &*found;
    }

    record *findFree(std::string_view kind)
    {
        const auto found = std::find_if(records.begin(), records.end(), [&](const record &item) {
            return item.usable && item.credits > 0 && offers(item, kind);
        });
        return found == records.end() ? nullptr : &*found;
    }

    static bool offers(const record &item, std::string_view kind)
    {
        return std::find(item.info.kinds.begin(), item.info.kinds.end(), kind) != item.info.kinds.end();
    }
};

} // namespace detail

slot_table::slot_table(std::string_view strategy, std::uint64_t /*seed*/)
    : d(std::make_unique<detail::slot_table_private>())
{
    if (strategy != "credits") {
        throw std::out_of_range("no such placement strategy: " + std::string(strategy));
    }
}

slot_table::~slot_table() = default;

void slot_table::join(const agent_info &info, std::uint32_t credits, std::chrono::milliseconds /*lease*/, mono_time /*now*/)
{
    auto *record = d->find(info.id);
    if (record == nullptr) {
        record = &d->records.emplace_back();
    }
    record->info = info;
    record->credits = static_cast<std::int32_t>(credits);
    record->usable = !info.leaving;
}

void slot_table::leave(const agent_id &agent)
{
    if (auto *record = d->find(agent)) {
        record->usable = false;
        record->credits = 0;
    }
}

void slot_table::addCredits(const agent_id &agent, std::int32_t delta)
{
    if (auto *record = d->find(agent)) {
        record->credits += delta;
    }
}

bool slot_table::isPlaceable(std::string_view kind, mono_time /*now*/)
{
    return d->findFree(kind) != nullptr;
}

std::optional<agent_id> slot_table::acquire(std::string_view kind, mono_time /*now*/)
{
    auto *record = d->findFree(kind);
    if (record == nullptr) {
        return std::nullopt;
    }
    --record->credits;
    ++record->outstanding;
    return record->info.id;
}

void slot_table::release(const agent_id &agent, std::string_view /*kind*/, const task_outcome & /*outcome*/, std::int32_t credits, mono_time /*now*/)
{
    if (auto *record = d->find(agent)) {
        record->outstanding -= std::min<std::uint32_t>(record->outstanding, 1);
        record->credits += credits;
    }
}

std::size_t slot_table::slots(std::string_view kind) const
{
    std::size_t sum = 0;
    for (const auto &record : d->records) {
        sum += record.usable && d->offers(record, kind) ? record.info.slots : 0;
    }
    return sum;
}

std::vector<agent_id> slot_table::agents() const
{
    std::vector<agent_id> found;
    for (const auto &record : d->records) {
        if (record.usable) {
            found.push_back(record.info.id);
        }
    }
    return found;
}

mono_time slot_table::nextDue() const
{
    return mono_time::max();
}

std::vector<endpoint_status> slot_table::status() const
{
    std::vector<endpoint_status> found;
    for (const auto &record : d->records) {
        endpoint_status item;
        item.info = record.info;
        item.health = record.usable ? endpoint_health::healthy : endpoint_health::lost;
        item.credits = static_cast<std::uint32_t>(std::max(0, record.credits));
        item.outstanding = record.outstanding;
        found.push_back(std::move(item));
    }
    return found;
}

} // namespace teaselward
