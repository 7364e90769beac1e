#include "http/endpoint_client.h"

#include "base/duty_thread.h"
#include "core/reason_text.h"
#include "http/call_outcome.h"
#include "http/endpoint_call.h"
#include "http/http_error.h"
#include "http/queued_call.h"

#include <absl/container/flat_hash_map.h>
#include <curl/curl.h>

#include <chrono>
#include <mutex>
#include <optional>
#include <system_error>
#include <utility>

namespace teaselward
{

namespace
{

// Maximum sleep of the thread. Calls wake it and libcurl shortens the sleep for its own timers, so this only limits the
// delay if a wake-up is missed.
constexpr std::chrono::milliseconds MaxPollTime = std::chrono::seconds(60);

void initializeLibrary()
{
    static std::once_flag once;
    std::call_once(once, [] {
        if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
            throw std::system_error(http_error::clientFailed);
        }
    });
}

} // namespace

namespace detail
{

class endpoint_client_private
{
public:
    endpoint_client_private(const endpoint_client_settings &clientSettings, bounded_ring<agent_event> &decisions, logger &clientLog)
        : settings(clientSettings)
        , events(decisions)
        , log(clientLog)
        , calls(settings.ringCapacity)
    {
        initializeLibrary();
        multi = curl_multi_init();
        if (multi == nullptr) {
            throw std::system_error(http_error::clientFailed);
        }
        calls.setWaker([this] {
            curl_multi_wakeup(multi);
        });
        thread.emplace("endpoint", [this] {
            run();
        });
    }

    ~endpoint_client_private()
    {
        curl_multi_cleanup(multi);
    }

    // Loop of the thread: runs calls until the ring is closed and every call has ended.
    void run()
    {
        for (;;) {
            startCalls();
            int running = 0;
            curl_multi_perform(multi, &running);
            if (finishCalls()) {
                continue; // A connection is free for the next call.
            }
            if (active.empty() && calls.isFinished()) {
                return;
            }
            curl_multi_poll(multi, nullptr, 0, static_cast<int>(MaxPollTime.count()), nullptr);
        }
    }

    void startCalls()
    {
        while (active.size() < settings.connections) {
            auto queued = calls.tryPop();
            if (!queued) {
                return;
            }
            startCall(std::move(*queued));
        }
    }

    void startCall(queued_call queued)
    {
        const task_id id = queued.call.id;
        const auto timeLimit = std::chrono::ceil<std::chrono::milliseconds>(queued.deadline - mono_clock::now());
        if (timeLimit.count() <= 0) {
            call_completion late;
            late.timedOut = true;
            report(id, outcomeOfCall(std::move(late)));
            return;
        }
        std::unique_ptr<endpoint_call> call;
        try {
            call = std::make_unique<endpoint_call>(settings, std::move(queued), timeLimit);
        } catch (const std::system_error &) {
            report(id, outcomeOfCall({}));
            return;
        }
        CURL *handle = call->handle();
        if (curl_multi_add_handle(multi, handle) != CURLM_OK) {
            report(id, outcomeOfCall({}));
            return;
        }
        active.emplace(handle, std::move(call));
    }

    // Reports the calls that have ended. Returns whether there were any.
    bool finishCalls()
    {
        bool any = false;
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode result = message->data.result;
            CURL *handle = message->easy_handle; // The message is not valid after the handle is removed.
            const auto found = active.find(handle);
            const std::unique_ptr<endpoint_call> call = std::move(found->second);
            active.erase(found);
            task_outcome outcome = outcomeOfCall(call->completion(result));
            curl_multi_remove_handle(multi, handle);
            report(call->task(), std::move(outcome));
            any = true;
        }
        return any;
    }

    void report(const task_id &id, task_outcome outcome)
    {
        if (outcome.verdict != task_verdict::succeeded && log.isEnabled()) {
            log.write(log_part::http,
                      "Call to the endpoint did not succeed. ticket=" + std::to_string(id.ticket.incarnation) + "-" + std::to_string(id.ticket.sequence)
                          + " task=" + std::to_string(id.index) + " reason=" + std::string(reasonText(outcome.why)));
        }
        events.push(call_finished{id, std::move(outcome)});
    }

    const endpoint_client_settings settings;
    bounded_ring<agent_event> &events;
    logger &log;
    CURLM *multi = nullptr;
    bounded_ring<queued_call> calls;
    absl::flat_hash_map<CURL *, std::unique_ptr<endpoint_call>> active;
    std::optional<duty_thread> thread;
};

} // namespace detail

endpoint_client::endpoint_client(const endpoint_client_settings &settings, bounded_ring<agent_event> &events, logger &log)
    : d(std::make_unique<detail::endpoint_client_private>(settings, events, log))
{
}

endpoint_client::~endpoint_client()
{
    stop();
}

bool endpoint_client::post(call_endpoint &&call)
{
    const mono_time deadline = mono_clock::now() + call.timeLimit;
    queued_call queued{std::move(call), deadline};
    if (d->calls.tryPush(std::move(queued))) {
        return true;
    }
    // The ring moves from an item only if it accepts it.
    call = std::move(queued.call); // NOLINT(bugprone-use-after-move)
    return false;
}

bool endpoint_client::post(const stop_call & /*stop*/)
{
    return true;
}

bool endpoint_client::post(const confirm_home & /*home*/)
{
    return true;
}

void endpoint_client::stop()
{
    d->calls.close();
    d->thread.reset();
}

} // namespace teaselward
