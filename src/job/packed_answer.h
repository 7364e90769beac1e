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

/** Final answer in a compact form, since many answers are kept for the lifetime of their tickets. */
class packed_answer
{
public:
    /**
     * Packs an answer.
     * @param answer the final answer
     */
    explicit packed_answer(const job_answer &answer);

    /** @return the original answer */
    job_answer unpack() const;

    /** @return memory use in bytes */
    std::size_t size() const;

private:
    job_state m_state;
    reason m_why;
    bool m_notRun;
    std::string m_results; ///< Concatenated results.
    std::vector<std::uint32_t> m_ends; ///< End offset of each result in m_results.
};

} // namespace teaselward
