#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace teaselward
{

/** Crashes of endpoints while they ran one task. */
class crash_history
{
public:
    /**
     * Records a crash.
     * @param age age of the run that was lost
     */
    void add(std::chrono::milliseconds age);

    /**
     * Checks whether the task must not be started again: two endpoints have crashed at the same age of its run, which shows that the
     * task is the cause, or three at any age.
     */
    bool isExhausted() const;

    /** @return whether an endpoint has crashed under the task */
    bool isSuspect() const;

    /** @return age of the last run that was lost; empty if none was */
    const std::optional<std::chrono::milliseconds> &lastAge() const;

private:
    std::uint32_t m_count = 0;
    bool m_isRepeated = false;
    std::optional<std::chrono::milliseconds> m_lastAge;
};

} // namespace teaselward
