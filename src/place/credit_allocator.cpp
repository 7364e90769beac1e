#include "place/credit_allocator.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace teaselward
{

namespace detail
{

/** State of credit_allocator. */
class credit_allocator_private
{
public:
    /** Credits and running tasks of one entry. */
    struct account {
        std::int32_t granted = 0;
        std::uint32_t running = 0;
        bool connected = false;
    };

    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    bool closed = false;
    absl::flat_hash_map<entry_id, account> accounts;

    // Divides the slots equally among the connected entries; an entry above its part gives idle credits back.
    std::vector<credit_grant> divide()
    {
        std::vector<credit_grant> grants;
        const auto connected = std::count_if(accounts.begin(), accounts.end(), [](const auto &item) {
            return item.second.connected;
        });
        if (closed || connected == 0) {
            return grants;
        }
        const auto part = std::max<std::int32_t>(1, static_cast<std::int32_t>(slots) / static_cast<std::int32_t>(connected));
        for (auto &[entry, account] : accounts) {
            const std::int32_t wanted = std::max<std::int32_t>(0, part - static_cast<std::int32_t>(account.running));
            if (account.connected && wanted != account.granted) {
                grants.push_back({entry, wanted - account.granted});
                account.granted = wanted;
            }
        }
        return grants;
    }
};

} // namespace detail

credit_allocator::credit_allocator(std::uint32_t slots)
    : d(std::make_unique<detail::credit_allocator_private>())
{
    d->slots = slots;
}

credit_allocator::~credit_allocator() = default;

std::vector<credit_grant> credit_allocator::join(const entry_id &entry, mono_time /*now*/)
{
    auto &account = d->accounts[entry];
    account.granted = 0;
    account.connected = true;
    return d->divide();
}

std::vector<credit_grant> credit_allocator::lose(const entry_id &entry, mono_time /*now*/)
{
    const auto found = d->accounts.find(entry);
    if (found == d->accounts.end()) {
        return {};
    }
    found->second.granted = 0;
    found->second.connected = false;
    if (found->second.running == 0) {
        d->accounts.erase(found);
    }
    return d->divide();
}

std::vector<credit_grant> credit_allocator::setDemand(const entry_id & /*entry*/, std::uint32_t /*queued*/, mono_time /*now*/)
{
    return {};
}

// Both sides count a credit as used even if the start is refused, so that their counts agree without a further message.
bool credit_allocator::take(const entry_id &entry)
{
    auto &account = d->accounts[entry];
    --account.granted;
    if (d->closed || d->running >= d->slots) {
        return false;
    }
    ++account.running;
    ++d->running;
    return true;
}

std::vector<credit_grant> credit_allocator::release(const entry_id &entry, mono_time /*now*/)
{
    const auto found = d->accounts.find(entry);
    if (found == d->accounts.end() || found->second.running == 0) {
        return {};
    }
    --found->second.running;
    --d->running;
    if (!found->second.connected && found->second.running == 0) {
        d->accounts.erase(found);
    }
    return d->divide();
}

void credit_allocator::close()
{
    d->closed = true;
}

} // namespace teaselward
