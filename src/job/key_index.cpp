#include "job/key_index.h"

#include "core/concat.h"

namespace teaselward
{

namespace
{

// Includes the sizes of team and kind, so that different combinations never give the same text.
std::string indexKey(std::string_view team, std::string_view kind, std::string_view key)
{
    return concat(team.size(), ",", kind.size(), ",", team, kind, key);
}

} // namespace

std::optional<std::uint64_t> key_index::find(std::string_view team, std::string_view kind, std::string_view key) const
{
    if (key.empty()) {
        return std::nullopt;
    }
    const auto found = m_sequences.find(indexKey(team, kind, key));
    return found == m_sequences.end() ? std::nullopt : std::optional(found->second);
}

void key_index::add(std::string_view team, std::string_view kind, std::string_view key, std::uint64_t sequence)
{
    if (key.empty()) {
        return;
    }
    std::string text = indexKey(team, kind, key);
    m_sequences[text] = sequence;
    m_keys[sequence] = std::move(text);
}

bool key_index::hasKey(std::uint64_t sequence) const
{
    return m_keys.contains(sequence);
}

void key_index::remove(std::uint64_t sequence)
{
    const auto found = m_keys.find(sequence);
    if (found == m_keys.end()) {
        return;
    }
    m_sequences.erase(found->second);
    m_keys.erase(found);
}

} // namespace teaselward
