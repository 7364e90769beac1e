#include "config/route_rules.h"

#include <cmath>
#include <vector>

namespace teaselward
{

namespace
{

// Ratio of the weights of adjacent priorities. Every kind keeps a share, so that a flood of higher priority cannot starve it.
constexpr double PriorityRatio = 2;

// Maximum number of tasks of one kind queued at an entry: more than a minute of work for a hundred slots.
constexpr std::uint32_t QueueLimit = 8192;

// Whether a kind shares its service with kinds of lower priority and with none of higher priority.
bool isHighPriority(const route &one, const std::vector<route> &routes)
{
    bool sharesWithLower = false;
    bool sharesWithHigher = false;
    for (const route &other : routes) {
        sharesWithLower = sharesWithLower || (other.service == one.service && other.priority > one.priority);
        sharesWithHigher = sharesWithHigher || (other.service == one.service && other.priority < one.priority);
    }
    return sharesWithLower && !sharesWithHigher;
}

} // namespace

rule_set routeRules(const route_config &config)
{
    rule_set rules;
    rules.offset = config.version;
    for (const route &one : config.routes) {
        kind_rule rule;
        rule.highPriority = isHighPriority(one, config.routes);
        rule.service = one.service;
        rule.placedByService = true;
        rule.restartable = true;
        rule.attempts = one.attempts;
        rule.stretch = one.stretch;
        rule.target = one.target;
        rule.weight = std::pow(PriorityRatio, -static_cast<double>(one.priority));
        rule.queueLimit = QueueLimit;
        if (one.timeLimit.count() > 0) {
            rule.timeLimit = one.timeLimit;
        }
        rules.kinds.emplace(one.kind, std::move(rule));
    }
    return rules;
}

} // namespace teaselward
