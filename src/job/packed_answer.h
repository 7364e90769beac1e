#pragma once

#include "core/job_answer.h"
#include "core/job_state.h"
#include "core/reason.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Final answer in a compact form, since many are kept for the lifetime of their tickets. */
class packed_answer
{
public:
    /**
     * Packs an answer.
     * @param answer final answer
     */
    explicit packed_answer(const job_answer &answer);

    /** @return the whole answer again */
    job_answer unpack() const;

    /** @return bytes that the answer occupies */
    std::size_t size() const;

private:
    job_state m_state;
    reason m_why;
    bool m_notRun;
    std::string m_results; ///< All results one after the other.
    std::vector<std::uint32_t> m_ends; ///< End of each result.
};

} // namespace teaselward
