#include "place/credit_allocator.h"

#include <algorithm>

namespace teaselward
{

namespace detail
{

/** Equal parts for all entries, the leftover to the first. */
class credit_allocator_private
{
public:
    struct share {
        entry_id entry;
        std::int64_t credits = 0;
        std::int64_t running = 0;
        bool joined = true;
    };

    share *find(const entry_id &entry)
    {
        const auto found = std::ranges::find(shares, entry, &share::entry);
        return found == shares.end() ? nullptr : &*found;
    }

    // Moves every joined entry towards its part.
    std::vector<credit_grant> rebalance()
    {
        std::vector<credit_grant> grants;
        std::int64_t free = slots;
        std::int64_t joined = 0;
        for (const share &one : shares) {
            free -= one.credits + one.running;
            joined += one.joined ? 1 : 0;
        }
        std::int64_t place = 0;
        for (share &one : shares) {
            if (!one.joined || closed) {
                continue;
            }
            const std::int64_t part = slots / joined + (place++ < slots % joined ? 1 : 0);
            const std::int64_t delta = std::clamp(part - one.credits - one.running, -one.credits, std::max<std::int64_t>(0, free));
            one.credits += delta;
            free -= std::max<std::int64_t>(0, delta);
            if (delta != 0) {
                grants.push_back({.entry = one.entry, .delta = static_cast<std::int32_t>(delta)});
            }
        }
        return grants;
    }

    std::int64_t slots = 0;
    bool closed = false;
    std::vector<share> shares;
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
    auto *found = d->find(entry);
    if (found == nullptr) {
        d->shares.push_back({.entry = entry});
    } else {
        found->credits = 0;
        found->joined = true;
    }
    return d->rebalance();
}

std::vector<credit_grant> credit_allocator::lose(const entry_id &entry, mono_time /*now*/)
{
    if (auto *found = d->find(entry); found != nullptr) {
        found->credits = 0;
        found->joined = false;
    }
    return d->rebalance();
}

std::vector<credit_grant> credit_allocator::setDemand(const entry_id & /*entry*/, std::uint32_t /*queued*/, mono_time /*now*/)
{
    return {};
}

bool credit_allocator::take(const entry_id &entry)
{
    auto *found = d->find(entry);
    if (found == nullptr || found->credits <= 0) {
        return false;
    }
    --found->credits;
    ++found->running;
    return true;
}

std::vector<credit_grant> credit_allocator::release(const entry_id &entry, mono_time /*now*/)
{
    if (auto *found = d->find(entry); found != nullptr && found->running > 0) {
        --found->running;
    }
    return d->rebalance();
}

void credit_allocator::close()
{
    d->closed = true;
}

} // namespace teaselward
