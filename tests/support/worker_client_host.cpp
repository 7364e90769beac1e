#include "support/worker_client_host.h"

#include <absl/time/time.h>

#include <string>
#include <utility>
#include <variant>

namespace teaselward
{

namespace
{

constexpr std::chrono::seconds Timeout{10};

worker_client_settings settingsOf(const worker_stub &worker, const std::string &address, std::uint64_t fencingToken)
{
    worker_client_settings settings;
    settings.address = address;
    settings.id = "i-1";
    settings.supervisor.fencingToken = fencingToken;
    settings.supervisor.endpointStart = worker.born();
    return settings;
}

} // namespace

worker_client_host::worker_client_host(const worker_stub &worker, const std::string &address, std::uint64_t fencingToken)
    : m_client(
        settingsOf(worker, address, fencingToken),
        [this](std::uint64_t /*token*/) {
            m_ready.Notify();
        },
        [this] {
            m_lost.Notify();
        },
        m_metrics,
        m_log)
{
    m_client.connect(m_events);
}

bool worker_client_host::waitUntilReady()
{
    return m_ready.WaitForNotificationWithTimeout(absl::FromChrono(Timeout));
}

bool worker_client_host::waitUntilLost()
{
    return m_lost.WaitForNotificationWithTimeout(absl::FromChrono(Timeout));
}

void worker_client_host::order(std::uint32_t index, std::chrono::milliseconds length)
{
    call_endpoint call;
    call.id = {.ticket = {.incarnation = 1, .sequence = 1}, .index = index, .attempt = 1};
    call.key = "00112233aabbccdd";
    call.payload = R"({"cpu":1,"ms":)" + std::to_string(length.count()) + "}";
    call.timeLimit = Timeout;
    m_client.post(std::move(call));
}

std::vector<call_finished> worker_client_host::takeEnds()
{
    std::vector<call_finished> ends;
    while (auto event = m_events.tryPop()) {
        if (auto *end = std::get_if<call_finished>(&*event)) {
            ends.push_back(std::move(*end));
        }
    }
    return ends;
}

} // namespace teaselward
