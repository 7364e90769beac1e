#include "share/quota_ledger.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace teaselward
{

namespace
{

constexpr std::chrono::seconds ReportLifetime(3); // Tolerates two lost reports in a row.
constexpr double EqualFraction = 0.1; // Fraction of a quota that is split equally, so that an entry without demand can start tasks.

} // namespace

void quota_ledger::setRules(const rule_set &rules)
{
    for (auto &[team, account] : m_accounts) {
        account.quota = 0;
    }
    for (const auto &[team, rule] : rules.teams) {
        m_accounts[team].quota = rule.quota;
    }
    std::erase_if(m_accounts, [](const auto &item) {
        return item.second.quota == 0 && item.second.inProgress == 0;
    });
}

void quota_ledger::setEntryCount(std::size_t entries)
{
    m_entries = std::max<std::size_t>(1, entries);
}

bool quota_ledger::admits(std::string_view team, std::uint32_t tasks, mono_time now)
{
    const auto found = m_accounts.find(team);
    if (found == m_accounts.end() || found->second.quota == 0) {
        return true;
    }
    account &use = found->second;
    if (use.inProgress + tasks <= localQuota(team, now)) {
        return true;
    }
    use.refused = std::min(use.refused + tasks, use.quota);
    return false;
}

void quota_ledger::add(std::string_view team, std::int64_t tasks)
{
    const auto found = m_accounts.find(team);
    if (found != m_accounts.end()) {
        found->second.inProgress = static_cast<std::uint32_t>(std::max<std::int64_t>(0, found->second.inProgress + tasks));
    }
}

std::vector<team_usage> quota_ledger::takeUsage()
{
    std::vector<team_usage> usage;
    for (auto &[team, use] : m_accounts) {
        if (use.quota > 0) {
            use.reported = use.inProgress + use.refused;
            use.refused = 0;
            usage.push_back({team, use.inProgress, use.reported});
        }
    }
    return usage;
}

void quota_ledger::setPeerUsage(const entry_id &peer, std::vector<team_usage> usage, mono_time now)
{
    std::erase_if(m_reports, [&](const report &item) {
        return item.peer == peer || now - item.at > ReportLifetime;
    });
    report &added = m_reports.emplace_back(report{peer, now, {}});
    for (team_usage &item : usage) {
        added.wanted[std::move(item.team)] = item.wanted;
    }
}

// Entries without a recent report are assumed to use an equal share. The rest is split by the demand in the last reports, from
// which all entries compute the same split. Rounding up lets the sum exceed the quota by less than one task per entry.
std::uint32_t quota_ledger::localQuota(std::string_view team, mono_time now) const
{
    const auto found = m_accounts.find(team);
    if (found == m_accounts.end()) {
        return 0;
    }
    std::size_t known = 1;
    double wanted = found->second.reported;
    for (const report &item : m_reports) {
        if (now - item.at <= ReportLifetime && known < m_entries) {
            ++known;
            const auto use = item.wanted.find(team);
            wanted += use == item.wanted.end() ? 0 : use->second;
        }
    }
    const double available = static_cast<double>(found->second.quota) * static_cast<double>(known) / static_cast<double>(m_entries);
    const double equal = available / static_cast<double>(known);
    if (known == 1 || wanted == 0) {
        return static_cast<std::uint32_t>(std::ceil(equal));
    }
    return static_cast<std::uint32_t>(std::ceil(EqualFraction * equal + (1 - EqualFraction) * available * found->second.reported / wanted));
}

} // namespace teaselward
