#include "share/expected_run_table.h"

#include <cstddef>

namespace teaselward
{

namespace
{

constexpr std::size_t MaxKinds = 1024; // Bounds the memory if rules replace their kinds again and again; further kinds are not learned.

} // namespace

void expected_run_table::add(std::string_view kind, std::chrono::milliseconds declared, std::chrono::microseconds runTime, double factor)
{
    auto found = m_kinds.find(kind);
    if (found == m_kinds.end()) {
        if (m_kinds.size() >= MaxKinds) {
            return;
        }
        found = m_kinds.emplace(kind, expected_run{}).first;
    }
    found->second.add(declared, runTime, factor);
}

std::chrono::microseconds expected_run_table::expect(std::string_view kind, std::chrono::milliseconds declared) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? declared : found->second.expect(declared);
}

} // namespace teaselward
