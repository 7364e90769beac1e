#include "scenario/invariant_checker.h"

#include "core/reason_text.h"

#include <absl/strings/str_cat.h>

namespace teaselward::testing
{

namespace
{

// How long after the deadline of its request an answer may arrive: messages have a latency, and a forwarded request may wait
// until a lease expires.
constexpr std::chrono::seconds AnswerTolerance{4};

// How long after the deadline of its job a task may start: a network cut shorter than the lease of 2 s delays messages without
// ending the session.
constexpr std::chrono::milliseconds StartTolerance{2500};

std::string describe(const ticket_id &ticket)
{
    return absl::StrCat("ticket ", ticket.incarnation, "-", ticket.sequence);
}

} // namespace

void invariant_checker::recordStart(const task_id &id, std::size_t agent, mono_time now)
{
    task_run &run = m_runs[id];
    ++run.starts;
    run.agent = agent;
    run.startedAt = now;
    if (m_fences.contains(std::pair(id.ticket, agent))) {
        m_recordedViolations.push_back(
            absl::StrCat(describe(id.ticket), " task ", id.index, " started at agent ", agent, " after the agent confirmed the fence"));
    }
    if (run.starts > 1) {
        m_recordedViolations.push_back(absl::StrCat(describe(id.ticket), " task ", id.index, " started ", run.starts, " times"));
    }
}

void invariant_checker::recordSuccess(const task_id &id, const std::string &result)
{
    task_run &run = m_runs[id];
    run.succeeded = true;
    run.result = result;
}

void invariant_checker::recordFence(const ticket_id &ticket, std::size_t agent)
{
    m_fences.insert(std::pair(ticket, agent));
}

void invariant_checker::recordStartAtLeaving(std::size_t agent)
{
    m_recordedViolations.push_back(absl::StrCat("start sent too late to leaving agent ", agent));
}

std::size_t invariant_checker::starts() const
{
    std::size_t sum = 0;
    for (const auto &[id, run] : m_runs) {
        sum += run.starts;
    }
    return sum;
}

std::size_t invariant_checker::startsOf(const ticket_id &ticket) const
{
    std::size_t sum = 0;
    for (const auto &[id, run] : m_runs) {
        sum += id.ticket == ticket ? run.starts : 0;
    }
    return sum;
}

void invariant_checker::checkComplete(const request_record &request, std::vector<std::string> &found) const
{
    const job_answer &answer = request.answer;
    if (!request.payloads.empty() && answer.results.size() != request.payloads.size()) {
        found.push_back(
            absl::StrCat(describe(request.source.id), " is complete with ", answer.results.size(), " results for ", request.payloads.size(), " tasks"));
        return;
    }
    for (std::uint32_t i = 0; i < answer.results.size(); ++i) {
        const auto run = m_runs.find(task_id{request.source.id, i});
        if (run == m_runs.end() || !run->second.succeeded || run->second.result != answer.results[i]) {
            found.push_back(absl::StrCat(describe(request.source.id), " task ", i, " has a result in the answer that no run of it produced"));
        }
    }
}

void invariant_checker::checkAnswer(const request_record &request, std::vector<std::string> &found) const
{
    const job_answer &answer = request.answer;
    if (answer.state == job_state::complete) {
        checkComplete(request, found);
    } else if (!answer.results.empty()) {
        found.push_back(absl::StrCat(describe(request.source.id), " is not complete, but its answer carries results"));
    }
    if (answer.notRun && startsOf(request.source.id) > 0) {
        found.push_back(
            absl::StrCat(describe(request.source.id), " is answered as not run (", std::string(reasonText(answer.why)), "), but a task of it started"));
    }
}

// A caller may act on the news that a deadline was missed, so no task may start long after the latest deadline of its ticket.
void invariant_checker::checkStartTimes(const std::vector<request_record> &requests, std::vector<std::string> &found) const
{
    absl::flat_hash_map<ticket_id, mono_time> deadlines;
    for (const request_record &request : requests) {
        if (!request.payloads.empty()) {
            mono_time &deadline = deadlines[request.source.id];
            deadline = std::max<mono_time>(deadline, request.sentAt + request.timeLimit);
        }
    }
    for (const auto &[id, run] : m_runs) {
        const auto deadline = deadlines.find(id.ticket);
        if (deadline != deadlines.end() && run.startedAt > deadline->second + StartTolerance) {
            found.push_back(absl::StrCat(describe(id.ticket), " task ", id.index, " started after the deadline"));
        }
    }
}

std::vector<std::string> invariant_checker::violations(const std::vector<request_record> &requests, mono_time end) const
{
    std::vector<std::string> found = m_recordedViolations;
    checkStartTimes(requests, found);
    for (const request_record &request : requests) {
        if (request.answers > 1) {
            found.push_back(absl::StrCat(describe(request.source.id), " was answered ", request.answers, " times"));
        }
        if (request.answers > 0) {
            checkAnswer(request, found);
        } else if (!request.connectionLost && end > request.sentAt + request.timeLimit + AnswerTolerance) {
            found.push_back(absl::StrCat(describe(request.source.id), " was not answered by its deadline"));
        }
    }
    return found;
}

} // namespace teaselward::testing
