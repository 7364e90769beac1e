#include "place/credit_allocator.h"

#include "place/credit_policies.h"

namespace teaselward
{

namespace
{

// Enough for starts of all entries that collide at once; beyond it a start has better chances at another endpoint.
constexpr std::uint32_t MaxHeldPerSlot = 2;

} // namespace

namespace detail
{

/** State of credit_allocator. */
class credit_allocator_private
{
public:
    /** An entry and its account. The entries are few and kept in the order in which they joined. */
    struct member {
        entry_id entry;
        credit_account account;
    };

    credit_totals totals;
    bool closed = false;
    bool limitsRunning = true;
    std::unique_ptr<credit_policy> policy;
    std::vector<member> members;

    credit_account *find(const entry_id &entry)
    {
        for (member &item : members) {
            if (item.entry == entry) {
                return &item.account;
            }
        }
        return nullptr;
    }

    credit_account &findOrAdd(const entry_id &entry)
    {
        credit_account *found = find(entry);
        return found != nullptr ? *found : members.emplace_back(member{entry, {}}).account;
    }

    bool canRun() const
    {
        return !closed && (!limitsRunning || totals.running < totals.slots);
    }

    // Turns a held start of an entry into a running task.
    void runHeld(credit_account &account)
    {
        --account.held;
        --totals.held;
        ++account.running;
        ++totals.running;
    }

    // Removes disconnected entries that have no tasks or held starts here.
    void dropUnused()
    {
        std::erase_if(members, [](const member &item) {
            return !item.account.connected && item.account.running == 0 && item.account.held == 0;
        });
    }

    // Adjusts the credits of one entry to their target.
    void adjust(const entry_id &entry, credit_account &account, std::vector<credit_grant> &grants) const
    {
        if (closed || !account.connected) {
            return;
        }
        const std::int32_t delta = policy->target(account, totals) - account.granted;
        if (delta != 0) {
            account.granted += delta;
            grants.push_back({entry, delta});
        }
    }

    // Grants credits to entries that have neither a credit nor a task here because a start of theirs was refused.
    void adjustStarved(const entry_id &entry, std::vector<credit_grant> &grants)
    {
        for (member &item : members) {
            if (item.account.isStarved() && !(item.entry == entry)) {
                adjust(item.entry, item.account, grants);
            }
        }
    }

    // Adjusts the credits of all other entries if the policy rebalances on a change.
    void adjustOthers(const entry_id &entry, std::vector<credit_grant> &grants)
    {
        if (!policy->rebalancesOnChange()) {
            return;
        }
        for (member &item : members) {
            if (!(item.entry == entry)) {
                adjust(item.entry, item.account, grants);
            }
        }
    }
};

} // namespace detail

credit_allocator::credit_allocator(std::uint32_t slots, std::string_view policy, bool limitsRunning)
    : d(std::make_unique<detail::credit_allocator_private>())
{
    d->totals.slots = slots;
    d->limitsRunning = limitsRunning;
    d->policy = makeCreditPolicy(policy);
}

credit_allocator::~credit_allocator() = default;

std::vector<credit_grant> credit_allocator::join(const entry_id &entry, mono_time /*now*/)
{
    credit_account &account = d->findOrAdd(entry);
    d->totals.entries += account.connected ? 0 : 1;
    account.connected = true;
    account.granted = 0;
    std::vector<credit_grant> grants;
    d->adjust(entry, account, grants);
    d->adjustOthers(entry, grants);
    return grants;
}

std::vector<credit_grant> credit_allocator::leave(const entry_id &entry, mono_time /*now*/)
{
    credit_account *account = d->find(entry);
    if (account == nullptr || !account->connected) {
        return {};
    }
    account->connected = false;
    account->granted = 0;
    --d->totals.entries;
    d->dropUnused();
    std::vector<credit_grant> grants;
    d->adjustOthers(entry, grants);
    return grants;
}

std::vector<credit_grant> credit_allocator::setDemand(const entry_id &entry, std::uint32_t queued, mono_time /*now*/)
{
    std::vector<credit_grant> grants;
    credit_account *account = d->find(entry);
    if (queued > 0 && account != nullptr && account->isStarved()) {
        d->adjust(entry, *account, grants);
    }
    return grants;
}

// A start without a credit is accepted too if a slot is free, since a recall may have crossed it. The entry has used the credit
// in any case, so it counts as used even if the start is refused.
bool credit_allocator::take(const entry_id &entry)
{
    credit_account &account = d->findOrAdd(entry);
    --account.granted;
    if (!d->canRun()) {
        return false;
    }
    ++account.running;
    ++d->totals.running;
    return true;
}

bool credit_allocator::spend(const entry_id &entry)
{
    --d->findOrAdd(entry).granted;
    return false;
}

void credit_allocator::resize(std::uint32_t slots)
{
    d->totals.slots = slots;
}

std::vector<credit_grant> credit_allocator::adjustAll(mono_time /*now*/)
{
    std::vector<credit_grant> grants;
    for (auto &item : d->members) {
        d->adjust(item.entry, item.account, grants);
    }
    return grants;
}

bool credit_allocator::hold(const entry_id &entry)
{
    if (d->closed || d->totals.held >= MaxHeldPerSlot * d->totals.slots) {
        return false;
    }
    ++d->findOrAdd(entry).held;
    ++d->totals.held;
    return true;
}

std::optional<entry_id> credit_allocator::takeHeld()
{
    return takeHeld([](const entry_id & /*entry*/) {
        return true;
    });
}

std::optional<entry_id> credit_allocator::takeHeld(const std::function<bool(const entry_id &)> &canRun)
{
    if (!d->canRun()) {
        return std::nullopt;
    }
    detail::credit_allocator_private::member *chosen = nullptr;
    for (auto &item : d->members) {
        if (item.account.held > 0 && (chosen == nullptr || item.account.running < chosen->account.running) && canRun(item.entry)) {
            chosen = &item;
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    d->runHeld(chosen->account);
    return chosen->entry;
}

bool credit_allocator::takeHeldOf(const entry_id &entry)
{
    credit_account *account = d->find(entry);
    if (!d->canRun() || account == nullptr || account->held == 0) {
        return false;
    }
    d->runHeld(*account);
    return true;
}

std::vector<credit_grant> credit_allocator::dropHeld(const entry_id &entry, mono_time /*now*/)
{
    credit_account *account = d->find(entry);
    if (account == nullptr || account->held == 0) {
        return {};
    }
    --account->held;
    --d->totals.held;
    std::vector<credit_grant> grants;
    d->adjust(entry, *account, grants);
    d->adjustStarved(entry, grants);
    d->dropUnused();
    return grants;
}

std::vector<credit_grant> credit_allocator::release(const entry_id &entry, mono_time /*now*/)
{
    credit_account *account = d->find(entry);
    if (account == nullptr || account->running == 0) {
        return {};
    }
    --account->running;
    --d->totals.running;
    std::vector<credit_grant> grants;
    d->adjust(entry, *account, grants);
    d->adjustStarved(entry, grants);
    d->dropUnused();
    return grants;
}

void credit_allocator::close()
{
    d->closed = true;
}

} // namespace teaselward
