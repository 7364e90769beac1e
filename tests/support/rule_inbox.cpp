#include "support/rule_inbox.h"

#include <boost/test/unit_test.hpp>

namespace teaselward
{

bounded_ring<entry_event> &rule_inbox::ring()
{
    return m_ring;
}

std::shared_ptr<const rule_set> rule_inbox::waitFor(const std::function<bool(const rule_set &)> &condition, std::chrono::milliseconds timeout)
{
    const mono_time until = mono_clock::now() + timeout;
    while (m_last == nullptr || !condition(*m_last)) {
        const auto event = m_ring.popUntil(until);
        if (!event) {
            return nullptr;
        }
        const auto rules = std::get<rules_applied>(*event).rules;
        BOOST_TEST((m_last == nullptr || rules->offset >= m_last->offset));
        m_last = rules;
    }
    return m_last;
}

bool rule_inbox::waitForWeight(const std::string &kind, double weight, std::chrono::milliseconds timeout)
{
    const auto hasWeight = [&](const rule_set &rules) {
        const auto found = rules.kinds.find(kind);
        return found != rules.kinds.end() && found->second.weight == weight;
    };
    return waitFor(hasWeight, timeout) != nullptr;
}

} // namespace teaselward
