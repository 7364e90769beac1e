#include "http/submit_session.h"

#include "base/clock.h"
#include "http/caller_codec.h"

#include <algorithm>
#include <array>
#include <optional>
#include <random>
#include <thread>

namespace teaselward
{

namespace
{

// Time after the job's deadline within which the entry may still send its answer.
constexpr std::chrono::milliseconds AnswerGrace = std::chrono::seconds(1);

// Reasons of temporary refusals.
constexpr std::array Retryable = {
    reason::overloaded,
    reason::queueFull,
    reason::quotaExceeded,
    reason::noEndpoint,
    reason::kindFailing,
    reason::draining,
    reason::homeUnreachable,
};

bool isRetryable(const job_answer &answer)
{
    return answer.state == job_state::running
        || (answer.state == job_state::refused && std::find(Retryable.begin(), Retryable.end(), answer.why) != Retryable.end());
}

job_answer makeAnswer(job_state state, reason why, bool notRun)
{
    job_answer answer;
    answer.state = state;
    answer.why = why;
    answer.notRun = notRun;
    return answer;
}

} // namespace

namespace detail
{

class submit_session_private
{
public:
    submit_session_private(const submit_settings &submitSettings, caller_transport &callerTransport)
        : settings(submitSettings)
        , transport(callerTransport)
        , random(settings.seed)
        , backoff(settings.firstBackoff)
    {
    }

    // Sends a request to the current entry. Returns std::nullopt once the time or the attempts are used up.
    std::optional<caller_response> send(const std::string &path, const std::string &body)
    {
        const auto left = std::chrono::floor<std::chrono::milliseconds>(deadline - mono_clock::now());
        if (left.count() <= 0 || attempts == settings.attemptLimit) {
            return std::nullopt;
        }
        ++attempts;
        return transport.post(settings.entries[entryIndex], path, body, left + AnswerGrace);
    }

    // Waits with jitter before the next attempt, at least for the retry time of the refusal, and moves on to the next entry.
    void backOff(std::chrono::milliseconds retryAfter)
    {
        const auto longest = std::max(backoff, retryAfter + backoff / 2);
        const auto shortest = std::max(backoff / 2, retryAfter);
        std::uniform_int_distribution<std::chrono::milliseconds::rep> jitter(shortest.count(), std::max(shortest, longest).count());
        std::this_thread::sleep_until(std::min(deadline, mono_clock::now() + std::chrono::milliseconds(jitter(random))));
        backoff = std::min(backoff * 2, settings.longestBackoff);
        entryIndex = (entryIndex + 1) % settings.entries.size();
    }

    // Requests a ticket. Retries are safe, because a ticket that is lost starts nothing.
    std::optional<std::string> requestTicket(job_answer &refusal)
    {
        while (const auto result = send("/v1/tickets", encodeTicketsRequest(1))) {
            const auto tickets = decodeTickets(result->body);
            if (result->answered && !tickets.empty()) {
                return tickets.front();
            }
            const auto answer = result->answered ? decodeAnswer(result->body) : std::nullopt;
            if (answer) {
                refusal = *answer;
                if (!isRetryable(*answer)) {
                    return std::nullopt;
                }
            }
            backOff(answer ? answer->retryAfter : std::chrono::milliseconds(0));
        }
        return std::nullopt;
    }

    // Submits until there is a final answer. The same ticket is sent again unless an answer says that its job never runs.
    job_answer submit(submission_request request)
    {
        bool mayRun = false; // A submission of the current ticket may have been accepted.
        job_answer last = makeAnswer(job_state::refused, reason::overloaded, true);
        while (const auto result = send("/v1/jobs", encodeSubmission(request))) {
            const auto answer = result->answered ? decodeAnswer(result->body) : std::nullopt;
            if (!answer || answer->state == job_state::running) {
                mayRun = true;
            } else {
                last = *answer;
                if (!isRetryable(*answer)) {
                    break;
                }
                // A refusal as overloaded proves that this submission was not accepted, but nothing about earlier ones.
                mayRun = !answer->notRun && (mayRun || answer->why != reason::overloaded);
            }
            backOff(answer ? answer->retryAfter : std::chrono::milliseconds(0));
            if (answer && answer->notRun && !renewTicket(request, last)) {
                break;
            }
        }
        if (mayRun && last.state == job_state::refused) {
            return makeAnswer(job_state::failed, reason::outcomeUnknown, false);
        }
        last.notRun = last.notRun || (last.state == job_state::refused && last.why == reason::overloaded);
        return last;
    }

    // Requests a new ticket after a refusal that closed the current one. Returns false if none is issued.
    bool renewTicket(submission_request &request, job_answer &last)
    {
        const auto ticket = requestTicket(last);
        if (ticket) {
            request.ticket = *ticket;
        }
        last.notRun = last.notRun || !ticket;
        return ticket.has_value();
    }

    const submit_settings settings;
    caller_transport &transport;
    std::mt19937 random;
    std::chrono::milliseconds backoff;
    mono_time deadline;
    std::uint32_t attempts = 0;
    std::size_t entryIndex = 0;
};

} // namespace detail

submit_session::submit_session(const submit_settings &settings, caller_transport &transport)
    : d(std::make_unique<detail::submit_session_private>(settings, transport))
{
}

submit_session::~submit_session() = default;

job_answer submit_session::run(const std::vector<std::string> &payloads)
{
    d->deadline = mono_clock::now() + d->settings.timeLimit;
    job_answer refusal = makeAnswer(job_state::refused, reason::homeUnreachable, true);
    const auto ticket = d->requestTicket(refusal);
    if (!ticket) {
        refusal.notRun = true; // Without a ticket nothing was submitted.
        return refusal;
    }
    d->backoff = d->settings.firstBackoff;
    submission_request request;
    request.ticket = *ticket;
    request.team = d->settings.team;
    request.kind = d->settings.kind;
    request.key = d->settings.key;
    request.timeLimitMs = static_cast<std::uint64_t>(d->settings.timeLimit.count());
    request.tasks = payloads;
    return d->submit(std::move(request));
}

} // namespace teaselward
