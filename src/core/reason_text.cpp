#include "core/reason_text.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace teaselward
{

namespace
{

// Indexed by the value of the enumerator.
constexpr std::array<std::string_view, 29> Texts = {
    "none",
    "malformed",
    "too_large",
    "bad_ticket",
    "ticket_expired",
    "ticket_reused",
    "unknown_kind",
    "unknown_team",
    "no_endpoint",
    "quota_exceeded",
    "queue_full",
    "overloaded",
    "deadline_unreachable",
    "draining",
    "home_unreachable",
    "kind_failing",
    "task_failed",
    "deadline_exceeded",
    "cancelled",
    "outcome_unknown",
    "unknown_job",
    "log_unavailable",
    "conflict",
    "invalid",
    "version_mismatch",
    "unauthorized",
    "ticket_closed",
    "run_stalled",
    "evacuated",
};

} // namespace

std::string_view reasonText(reason value)
{
    return Texts.at(static_cast<std::size_t>(value));
}

std::optional<reason> reasonFromText(std::string_view text)
{
    const auto found = std::find(Texts.begin(), Texts.end(), text);
    if (found == Texts.end()) {
        return std::nullopt;
    }
    return static_cast<reason>(std::distance(Texts.begin(), found));
}

} // namespace teaselward
