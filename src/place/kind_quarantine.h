#pragma once

#include "base/clock.h"
#include "core/crash_suspect.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

/**
 * Kinds whose tasks crash endpoints. A tenth of a kind's jobs can take down all endpoints within two seconds, and with them every
 * other kind, because each crash keeps an endpoint away for seconds. Tasks of a quarantined kind are therefore placed only on a few
 * isolated endpoints. A kind is quarantined when one of its tasks has crashed a second endpoint, and released once enough of its tasks
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
    struct state {
        bool isQuarantined = false;
        mono_time lastCrash{}; ///< Last crash of an endpoint that ran the kind while it was quarantined.
        mono_time releasedAt{};
        std::uint32_t successes = 0; ///< Since the last crash.
        std::uint32_t required = 0; ///< Successes after which the kind is released.
        std::chrono::milliseconds quietTime{}; ///< Time without a crash after which the kind is released in any case.
    };

    void quarantine(state &kind, mono_time now);

    std::map<std::string, state, std::less<>> m_kinds; ///< Bounded by the number of configured kinds.
    std::uint32_t m_quarantined = 0;
};

} // namespace teaselward
