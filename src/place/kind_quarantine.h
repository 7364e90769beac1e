#pragma once

#include "base/clock.h"
#include "core/crash_suspect.h"
#include "place/quarantine_record.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

/**
 * Kinds whose tasks crash endpoints. Each crash ends the runs of all kinds there and keeps the endpoint away for seconds, so a few such
 * jobs a second can take all endpoints from the other kinds. Tasks of a quarantined kind are therefore placed only on a few isolated
 * endpoints. A kind is quarantined when one of its tasks has crashed a second endpoint, and released once enough of its tasks
 * have succeeded without another crash.
 */
class kind_quarantine
{
public:
    /**
     * Records the crash of an endpoint. If one of the kinds is quarantined already, it explains the crash, and no other kind is
     * quarantined for it.
     * @param suspects kinds that were running there
     * @param now current time
     * @return kinds that are newly quarantined
     */
    std::vector<std::string> recordCrash(const std::vector<crash_suspect> &suspects, mono_time now);

    /**
     * Records a task that succeeded.
     * @param kind its kind
     */
    void recordSuccess(std::string_view kind);

    /**
     * Releases the kinds that have crashed no endpoint for some time: a shorter one if enough of their tasks have succeeded since.
     * @param now current time
     * @return kinds that were released
     */
    std::vector<std::string> release(mono_time now);

    /**
     * Checks whether a kind is quarantined.
     * @param kind the kind
     */
    bool contains(std::string_view kind) const;

    /** @return whether no kind is quarantined */
    bool isEmpty() const;

private:
    void quarantine(quarantine_record &kind, mono_time now);

    std::map<std::string, quarantine_record, std::less<>> m_kinds; ///< Bounded by the number of configured kinds.
    std::uint32_t m_quarantined = 0;
};

} // namespace teaselward
