#include "job/packed_answer.h"

namespace teaselward
{

packed_answer::packed_answer(const job_answer &answer)
    : m_state(answer.state)
    , m_why(answer.why)
    , m_notRun(answer.notRun)
{
    std::size_t size = 0;
    for (const std::string &result : answer.results) {
        size += result.size();
    }
    m_results.reserve(size);
    m_ends.reserve(answer.results.size());
    for (const std::string &result : answer.results) {
        m_results += result;
        m_ends.push_back(static_cast<std::uint32_t>(m_results.size()));
    }
}

job_answer packed_answer::unpack() const
{
    job_answer answer;
    answer.state = m_state;
    answer.why = m_why;
    answer.notRun = m_notRun;
    answer.results.reserve(m_ends.size());
    std::size_t begin = 0;
    for (const std::uint32_t end : m_ends) {
        answer.results.push_back(m_results.substr(begin, end - begin));
        begin = end;
    }
    return answer;
}

std::size_t packed_answer::size() const
{
    return sizeof(*this) + m_results.capacity() + m_ends.capacity() * sizeof(std::uint32_t);
}

} // namespace teaselward
