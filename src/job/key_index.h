#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselward
{

/** Client keys of the jobs that this incarnation holds. */
class key_index
{
public:
    /**
     * Finds the job that carries a key.
     * @param team team of the caller
     * @param kind kind of the job
     * @param key key of the caller; an empty one is never found
     * @return sequence of the first ticket that was used with the key
     */
    std::optional<std::uint64_t> find(std::string_view team, std::string_view kind, std::string_view key) const;

    /**
     * Records the key of a job; an empty one is ignored.
     * @param team team of the caller
     * @param kind kind of the job
     * @param key key of the caller
     * @param sequence sequence of the ticket of the job
     */
    void add(std::string_view team, std::string_view kind, std::string_view key, std::uint64_t sequence);

    /**
     * Tells whether a job has a key.
     * @param sequence sequence of the ticket of the job
     */
    bool hasKey(std::uint64_t sequence) const;

    /**
     * Forgets the key of a job.
     * @param sequence sequence of the ticket of the job
     */
    void remove(std::uint64_t sequence);

private:
    absl::flat_hash_map<std::string, std::uint64_t> m_sequences;
    absl::flat_hash_map<std::uint64_t, std::string> m_keys;
};

} // namespace teaselward
