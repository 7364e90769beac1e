#include "member/entry_directory.h"

#include "base/backoff.h"
#include "member/retry_budget.h"

#include <absl/container/flat_hash_set.h>
#include <absl/hash/hash.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace teaselward
{

namespace detail
{

enum class address_state : std::uint8_t {
    waiting,
    connecting,
    connected,
    retiring, // Connected, but returned by takeSurplus().
};

// One known address.
struct address_record {
    bool isConfigured = false;
    address_state state = address_state::waiting;
    mono_time due{}; // Time of the next attempt.
    mono_time lastReached{}; // Last time the address was connected; at first the time it was added.
    std::uint64_t rank = 0; // Position in the order in which the addresses are selected; higher ones come first.
    std::optional<mono_time> failingSince; // Time since which the address has not been reached, although it was tried.
    std::optional<mono_time> unneededSince; // Time since which a connected address has not been selected.
    entry_id entry; // Incarnation that last answered; zero if none.
    backoff delay;
};

class entry_directory_private
{
public:
    using record_map = std::map<std::string, address_record, std::less<>>;

    entry_directory_private(const entry_directory_settings &directorySettings, mono_time now)
        : settings(directorySettings)
        , budget(directorySettings.retryBurst, directorySettings.retryInterval, now)
        , random(directorySettings.seed)
    {
    }

    entry_directory_settings settings;
    retry_budget budget;
    record_map records;
    absl::flat_hash_set<std::string> excluded;
    std::mt19937_64 random;

    // Adds a record that is due at once.
    address_record &add(const std::string &address, mono_time now)
    {
        const backoff delay(settings.firstDelay, settings.reconnectLimit);
        const std::uint64_t rank = absl::HashOf(settings.seed, address);
        return records.emplace(address, address_record{false, address_state::waiting, now, now, rank, std::nullopt, std::nullopt, {}, delay}).first->second;
    }

    // Returns whether an address counts toward the session target: it is connected, not tried yet, or failing for a short time only.
    bool isLive(const address_record &record, mono_time now) const
    {
        return record.state != address_state::retiring && (!record.failingSince || now - *record.failingSince < settings.replaceAfter);
    }

    // Returns the addresses to which connections are wanted: the first in rank, until the session target is reached by live ones.
    std::vector<record_map::value_type *> wanted(mono_time now)
    {
        std::vector<record_map::value_type *> found;
        for (auto &item : records) {
            found.push_back(&item);
        }
        if (settings.sessionTarget == 0) {
            return found;
        }
        std::ranges::sort(found, std::greater(), [](const record_map::value_type *item) {
            return item->second.rank;
        });
        std::size_t live = 0;
        std::size_t count = 0;
        while (count < found.size() && live < settings.sessionTarget) {
            live += isLive(found[count]->second, now) ? 1 : 0;
            ++count;
        }
        found.resize(count);
        return found;
    }

    // Checks whether the incarnation that an address last reached is connected under another address. A second session with it
    // would close the first one, since the newer session wins.
    bool isAlias(const std::string &address, const address_record &record) const
    {
        if (record.entry == entry_id{}) {
            return false;
        }
        for (const auto &[other, candidate] : records) {
            if (other != address && candidate.state == address_state::connected && candidate.entry == record.entry) {
                return true;
            }
        }
        return false;
    }

    void dropUnreachable(mono_time now)
    {
        std::erase_if(records, [this, now](const auto &item) {
            const address_record &record = item.second;
            return !record.isConfigured && record.state == address_state::waiting && now - record.lastReached > settings.forgetAfter;
        });
    }
};

} // namespace detail

entry_directory::entry_directory(const entry_directory_settings &settings, mono_time now)
    : d(std::make_unique<detail::entry_directory_private>(settings, now))
{
}

entry_directory::~entry_directory() = default;

void entry_directory::configure(const std::string &address, mono_time now)
{
    if (d->excluded.contains(address)) {
        return;
    }
    const auto found = d->records.find(address);
    detail::address_record &record = found != d->records.end() ? found->second : d->add(address, now);
    record.isConfigured = true;
}

// A report does not renew the time at which an unreachable address was last reached; otherwise two processes that report the
// address to each other would never drop it.
bool entry_directory::learn(const std::string &address, mono_time now)
{
    if (address.empty() || d->excluded.contains(address)) {
        return false;
    }
    if (d->records.contains(address)) {
        return true;
    }
    if (d->records.size() >= d->settings.capacity) {
        return false;
    }
    d->add(address, now);
    return true;
}

void entry_directory::exclude(const std::string &address)
{
    d->excluded.insert(address);
    d->records.erase(address);
}

void entry_directory::retryNow(const std::string &address, mono_time now)
{
    const auto found = d->records.find(address);
    if (found != d->records.end()) {
        found->second.due = now;
        found->second.entry = entry_id{};
    }
}

std::vector<std::string> entry_directory::takeDue(mono_time now)
{
    d->dropUnreachable(now);
    std::vector<std::string> due;
    for (auto *item : d->wanted(now)) {
        auto &[address, record] = *item;
        if (record.state != detail::address_state::waiting || record.due > now || d->isAlias(address, record)) {
            continue;
        }
        if (!d->budget.take(now)) {
            break;
        }
        record.state = detail::address_state::connecting;
        due.push_back(address);
    }
    return due;
}

std::vector<std::string> entry_directory::takeSurplus(mono_time now)
{
    std::vector<std::string> surplus;
    if (d->settings.sessionTarget == 0) {
        return surplus;
    }
    const auto wanted = d->wanted(now);
    for (auto &item : d->records) {
        auto &[address, record] = item;
        if (record.state != detail::address_state::connected || std::ranges::find(wanted, &item) != wanted.end()) {
            record.unneededSince.reset();
            continue;
        }
        if (!record.unneededSince) {
            record.unneededSince = now;
        }
        if (now - *record.unneededSince >= d->settings.retireAfter) {
            record.state = detail::address_state::retiring;
            surplus.push_back(address);
        }
    }
    return surplus;
}

void entry_directory::setConnected(const std::string &address, const entry_id &entry)
{
    const auto found = d->records.find(address);
    if (found != d->records.end()) {
        found->second.state = detail::address_state::connected;
        found->second.entry = entry;
        found->second.failingSince.reset();
        found->second.delay.reset();
    }
}

void entry_directory::setLost(const std::string &address, mono_time now)
{
    const auto found = d->records.find(address);
    if (found == d->records.end()) {
        return;
    }
    detail::address_record &record = found->second;
    if (record.state == detail::address_state::connected) {
        record.lastReached = now;
    }
    record.unneededSince.reset();
    if (record.state != detail::address_state::retiring && !record.failingSince) {
        record.failingSince = now;
    }
    record.state = detail::address_state::waiting;
    record.due = now + record.delay.next(d->random);
}

std::vector<std::string> entry_directory::connected() const
{
    std::vector<std::string> addresses;
    for (const auto &[address, record] : d->records) {
        if (record.state == detail::address_state::connected) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::size_t entry_directory::size() const
{
    return d->records.size();
}

} // namespace teaselward
