#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselward
{

/** Index of the jobs of this incarnation by client key. Keys are scoped to a workspace (team) and a kind. */
class key_index
{
public:
    /**
     * Finds the job with a key.
     * @param team team of the caller
     * @param kind kind of the job
     * @param key client key; an empty key is never found
     * @return sequence number of the first ticket used with the key
     */
    std::optional<std::uint64_t> find(std::string_view team, std::string_view kind, std::string_view key) const;

    /**
     * Adds the key of a job; an empty key is ignored.
     * @param team team of the caller
     * @param kind kind of the job
     * @param key client key
     * @param sequence sequence number of the ticket of the job
     */
    void add(std::string_view team, std::string_view kind, std::string_view key, std::uint64_t sequence);

    /**
     * Returns whether a job has a key.
     * @param sequence sequence number of the ticket of the job
     */
    bool hasKey(std::uint64_t sequence) const;

    /**
     * Removes the key of a job.
     * @param sequence sequence number of the ticket of the job
     */
    void remove(std::uint64_t sequence);

private:
    absl::flat_hash_map<std::string, std::uint64_t> m_sequences;
    absl::flat_hash_map<std::uint64_t, std::string> m_keys;
};

} // namespace teaselward
