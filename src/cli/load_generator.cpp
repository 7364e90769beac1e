#include "cli/load_generator.h"

#include "base/clock.h"
#include "cli/load_plan.h"
#include "http/caller_codec.h"
#include "http/caller_request.h"
#include "http/curl_transport.h"
#include "http/http_error.h"

#include <absl/container/flat_hash_map.h>
#include <curl/curl.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <system_error>
#include <utility>

namespace teaselward
{

namespace
{

constexpr std::uint32_t TicketBatch = 1000;

// Timeout of a request for tickets.
constexpr std::chrono::milliseconds TicketTimeout = std::chrono::seconds(10);

// Time from a job's deadline until its request times out.
constexpr std::chrono::milliseconds AnswerGrace = std::chrono::seconds(2);

// Longest wait of the event loop.
constexpr std::chrono::milliseconds MaxPollTime = std::chrono::seconds(1);

/** Request in progress. */
struct open_job {
    std::unique_ptr<caller_request> call;
    mono_time arrival;
    std::chrono::microseconds ideal{};
};

} // namespace

namespace detail
{

class load_generator_private
{
public:
    explicit load_generator_private(const load_settings &loadSettings)
        : settings(loadSettings)
        , plan(settings)
        , total(static_cast<std::uint64_t>(std::ceil(settings.rate * static_cast<double>(settings.duration.count()))))
        , tickets(settings.entries.size())
        , multi(curl_multi_init())
        , timer(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
    {
        if (multi == nullptr || timer < 0) {
            throw std::system_error(http_error::clientFailed);
        }
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, static_cast<long>(settings.openLimit));
    }

    ~load_generator_private()
    {
        for (const auto &[handle, job] : open) {
            curl_multi_remove_handle(multi, handle);
        }
        open.clear();
        curl_multi_cleanup(multi);
        ::close(timer);
    }

    // Requests up to TicketBatch tickets from one entry.
    bool takeTicketBatch(std::size_t entry, std::size_t count)
    {
        curl_transport transport;
        const auto size = static_cast<std::uint32_t>(std::min<std::size_t>(count, TicketBatch));
        const caller_response result = transport.post(settings.entries[entry], "/v1/tickets", encodeTicketsRequest(size), TicketTimeout);
        auto texts = decodeTickets(result.body);
        if (!result.answered || texts.empty()) {
            return false;
        }
        roundTrip = std::min(roundTrip, result.connectTime);
        std::move(texts.begin(), texts.end(), std::back_inserter(tickets[entry]));
        return true;
    }

    // Sets the timer that ends the poll; the timeout of the poll itself has a resolution of only 1 ms.
    void setTimer(mono_time until) const
    {
        const auto left = std::max<std::chrono::nanoseconds>(until - mono_clock::now(), std::chrono::nanoseconds(1));
        const auto seconds = std::chrono::floor<std::chrono::seconds>(left);
        itimerspec spec{};
        spec.it_value.tv_sec = seconds.count();
        spec.it_value.tv_nsec = (left - seconds).count();
        ::timerfd_settime(timer, 0, &spec, nullptr);
    }

    void send(const load_job &job, mono_time arrival, std::uint64_t number)
    {
        const std::size_t entry = number % settings.entries.size();
        if (open.size() >= settings.openLimit || tickets[entry].empty()) {
            report.countSkipped();
            return;
        }
        submission_request request;
        request.ticket = std::move(tickets[entry].back());
        tickets[entry].pop_back();
        request.team = settings.team;
        request.kind = settings.kind;
        request.timeLimitMs = static_cast<std::uint64_t>(settings.timeLimit.count());
        request.tasks = job.payloads;
        auto call = std::make_unique<caller_request>(settings.entries[entry], "/v1/jobs", encodeSubmission(request), settings.timeLimit + AnswerGrace);
        CURL *handle = call->handle();
        if (curl_multi_add_handle(multi, handle) != CURLM_OK) {
            report.countSkipped();
            return;
        }
        const std::chrono::microseconds ideal = job.longest.count() > 0 ? job.longest + roundTrip : std::chrono::microseconds(0);
        open.emplace(handle, open_job{std::move(call), arrival, ideal});
    }

    void finishCalls()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode code = message->data.result;
            const auto found = open.find(message->easy_handle);
            const open_job job = std::move(found->second);
            open.erase(found);
            curl_multi_remove_handle(multi, job.call->handle());
            const caller_response result = job.call->result(code);
            const auto answer = result.answered ? decodeAnswer(result.body) : std::nullopt;
            if (answer) {
                report.countAnswer(*answer, std::chrono::duration_cast<std::chrono::microseconds>(mono_clock::now() - job.arrival), job.ideal);
            } else {
                report.countLost();
            }
        }
    }

    void run(mono_time start)
    {
        std::uint64_t number = 0;
        load_job next = plan.next();
        while (number < total || !open.empty()) {
            while (number < total && start + next.arrival <= mono_clock::now()) {
                send(next, start + next.arrival, number++);
                next = plan.next();
            }
            int running = 0;
            curl_multi_perform(multi, &running);
            finishCalls();
            if (number < total) {
                setTimer(start + next.arrival);
            }
            curl_waitfd wait{timer, CURL_WAIT_POLLIN, 0};
            curl_multi_poll(multi, &wait, number < total ? 1 : 0, static_cast<int>(MaxPollTime.count()), nullptr);
        }
    }

    const load_settings settings;
    load_plan plan;
    std::uint64_t total;
    std::vector<std::vector<std::string>> tickets; ///< Unused tickets of each entry, indexed like settings.entries.
    std::chrono::microseconds roundTrip = std::chrono::seconds(1);
    load_report report;
    absl::flat_hash_map<CURL *, open_job> open;
    CURLM *multi;
    int timer;
};

} // namespace detail

load_generator::load_generator(const load_settings &settings)
    : d(std::make_unique<detail::load_generator_private>(settings))
{
}

load_generator::~load_generator() = default;

bool load_generator::takeTickets()
{
    const std::size_t each = d->total / d->settings.entries.size() + 1;
    for (std::size_t entry = 0; entry < d->settings.entries.size(); ++entry) {
        while (d->tickets[entry].size() < each) {
            if (!d->takeTicketBatch(entry, each - d->tickets[entry].size())) {
                return false;
            }
        }
    }
    return true;
}

std::chrono::microseconds load_generator::run()
{
    const mono_time start = mono_clock::now();
    d->run(start);
    return std::chrono::duration_cast<std::chrono::microseconds>(mono_clock::now() - start);
}

const load_report &load_generator::report() const
{
    return d->report;
}

} // namespace teaselward
