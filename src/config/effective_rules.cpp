#include "config/effective_rules.h"

#include "config/peak_hours.h"

#include <algorithm>
#include <tuple>

namespace teaselward
{

namespace
{

// Returns the first of the two values that is set, or else the fallback.
template<typename T>
T valueOr(const std::optional<T> &own, const std::optional<T> &inherited, const T &fallback)
{
    return own ? *own : inherited.value_or(fallback);
}

kind_rule makeKindRule(const kind_section &kind, const config_model &model)
{
    const kind_rule defaults;
    static const service_section absent;
    const auto found = model.services.find(kind.service.value_or(""));
    const service_section &service = found == model.services.end() ? absent : found->second;
    return {
        .service = kind.service.value_or(""),
        .weight = valueOr(kind.weight, service.weight, defaults.weight),
        .floor = kind.floor.value_or(defaults.floor),
        .idempotent = valueOr(kind.idempotent, service.idempotent, defaults.idempotent),
        .timeLimit = valueOr(kind.timeLimit, service.timeLimit, defaults.timeLimit),
        .queueLimit = valueOr(kind.queueLimit, service.queueLimit, defaults.queueLimit),
        .taskLimit = valueOr(kind.taskLimit, service.taskLimit, defaults.taskLimit),
    };
}

void applyPeak(const peak_section &peak, kind_rule &rule)
{
    rule.weight = peak.weight.value_or(rule.weight);
    rule.floor = peak.floor.value_or(rule.floor);
}

// Applies a peak to the kinds that it lists; names of undefined kinds are ignored.
void applyPeak(const peak_section &peak, rule_set &rules)
{
    for (const std::string &name : peak.kinds.value_or(std::vector<std::string>{})) {
        if (name == "*") {
            for (auto &[kind, rule] : rules.kinds) {
                applyPeak(peak, rule);
            }
        } else if (const auto found = rules.kinds.find(name); found != rules.kinds.end()) {
            applyPeak(peak, found->second);
        }
    }
}

// Files are validated separately, so the floors of different files may add up to more than all slots.
void scaleFloors(rule_set &rules)
{
    double sum = 0;
    for (const auto &[name, rule] : rules.kinds) {
        sum += rule.floor;
    }
    if (sum > 1.0) {
        for (auto &[name, rule] : rules.kinds) {
            rule.floor /= sum;
        }
    }
}

auto fields(const kind_rule &rule)
{
    return std::tie(rule.service, rule.weight, rule.floor, rule.idempotent, rule.timeLimit, rule.queueLimit, rule.taskLimit);
}

auto fields(const team_rule &rule)
{
    return std::tie(rule.weight, rule.quota);
}

template<typename Map>
bool isSameMap(const Map &left, const Map &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const auto &a, const auto &b) {
        return a.first == b.first && fields(a.second) == fields(b.second);
    });
}

} // namespace

rule_set effectiveRules(const config_model &model, wall_time utc, std::uint64_t offset)
{
    rule_set rules;
    rules.offset = offset;
    for (const auto &[name, kind] : model.kinds) {
        rules.kinds.emplace(name, makeKindRule(kind, model));
    }
    for (const auto &[name, team] : model.teams) {
        const team_rule defaults;
        rules.teams.emplace(name, team_rule{.weight = team.weight.value_or(defaults.weight), .quota = team.quota.value_or(defaults.quota)});
    }
    for (const auto &[name, peak] : model.peaks) {
        if (isActive(peak, model, utc)) {
            applyPeak(peak, rules);
        }
    }
    scaleFloors(rules);
    return rules;
}

std::optional<wall_time> nextRuleChange(const config_model &model, wall_time utc)
{
    std::optional<wall_time> next;
    for (const auto &[name, peak] : model.peaks) {
        const auto boundary = nextBoundary(peak, model, utc);
        if (boundary && (!next || *boundary < *next)) {
            next = boundary;
        }
    }
    return next;
}

bool haveSameRules(const rule_set &left, const rule_set &right)
{
    return isSameMap(left.kinds, right.kinds) && isSameMap(left.teams, right.teams);
}

} // namespace teaselward
