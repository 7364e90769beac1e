#include "core/evacuation_text.h"

#include <array>
#include <cstddef>

namespace teaselward
{

namespace
{

// Indexed by the value of the enumerator.
constexpr std::array<std::string_view, 4> Sources = {"store", "copy", "entry", "agent"};

} // namespace

std::string_view evacuationSourceText(evacuation_source source)
{
    return Sources.at(static_cast<std::size_t>(source));
}

std::string evacuatedDomainsText(const evacuation_state &state)
{
    std::string text;
    for (const std::string &domain : state.failureDomains) {
        text += text.empty() ? "" : ",";
        text += domain;
    }
    return text.empty() ? "none" : text;
}

} // namespace teaselward
