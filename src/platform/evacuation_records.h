#pragma once

#include "core/evacuation_state.h"
#include "log/logger.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace teaselward
{

/** Reads the operators' requests to evacuate failure domains from their records, and encodes the copies of the state. */
class evacuation_records
{
public:
    /** @param log logger; it must outlive the reader */
    explicit evacuation_records(logger &log);

    /**
     * Applies a record to a state if its key names a failure domain. A record without a value withdraws the request; any other one
     * requests the evacuation, whether its value is readable or not.
     * @param key key of the record
     * @param value value of the record
     * @param state updated, except for its offset
     */
    void apply(std::string_view key, std::string_view value, evacuation_state &state) const;

    /**
     * Applies a record whose key is readable and whose value is not.
     * @param key key of the record
     * @param state updated, except for its offset
     */
    void applyUnreadable(std::string_view key, evacuation_state &state) const;

    /** @param state the state @return text of its copy */
    static std::string encodeCopy(const evacuation_state &state);

    /**
     * Decodes a copy of the state. A malformed name is dropped with a log line.
     * @param text text of the copy
     * @param state set to the state
     * @return false if the text is malformed
     */
    bool decodeCopy(const std::string &text, evacuation_state &state) const;

private:
    std::string_view domainOf(std::string_view key) const;
    void add(std::string_view domain, evacuation_state &state) const;

    logger &m_log;
};

} // namespace teaselward
