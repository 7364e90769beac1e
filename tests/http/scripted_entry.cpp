#include "http/scripted_entry.h"

#include "http/ticket_codec.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <variant>

namespace teaselward
{

scripted_entry::scripted_entry(script answer, const front_end_settings &settings, std::size_t ringCapacity)
    : m_events(ringCapacity)
    , m_front(settings, m_events, m_log)
    , m_script(std::move(answer))
{
    if (!m_script) {
        return;
    }
    m_thread = std::make_unique<duty_thread>("script", [this] {
        while (const auto event = m_events.pop()) {
            {
                const absl::MutexLock lock(&m_mutex);
                ++m_count;
            }
            m_script(*event, m_front);
        }
    });
}

scripted_entry::~scripted_entry()
{
    m_events.close();
    m_thread.reset();
    m_front.stop();
}

front_end_settings scripted_entry::defaultSettings()
{
    front_end_settings settings;
    settings.listen = "127.0.0.1:0";
    settings.adminListen = "127.0.0.1:0";
    settings.ticketKey = "secret of the tests";
    return settings;
}

front_end &scripted_entry::front()
{
    return m_front;
}

bounded_ring<entry_event> &scripted_entry::events()
{
    return m_events;
}

std::string scripted_entry::address()
{
    return m_front.callerAddress();
}

std::string scripted_entry::operatorAddress()
{
    return m_front.operatorAddress();
}

int scripted_entry::eventCount() const
{
    const absl::MutexLock lock(&m_mutex);
    return m_count;
}

scripted_entry::script echoScript()
{
    return [sequence = std::uint64_t(0)](const entry_event &event, front_end &front) mutable {
        if (const auto *tickets = std::get_if<ticket_requested>(&event)) {
            reply_tickets reply;
            reply.request = tickets->request;
            for (std::uint32_t i = 0; i < tickets->count; ++i) {
                reply.tickets.push_back({"127.0.0.1:7001", {7, ++sequence}, std::chrono::milliseconds(5)});
            }
            front.post(std::move(reply));
        } else if (const auto *job = std::get_if<job_submitted>(&event)) {
            reply_job reply;
            reply.request = job->request;
            reply.ticket = job->job.source.id;
            reply.answer.state = job_state::complete;
            reply.answer.results = job->job.payloads;
            front.post(std::move(reply));
        } else if (const auto *status = std::get_if<status_requested>(&event)) {
            reply_status reply;
            reply.request = status->request;
            reply.status.rulesOffset = 17;
            front.post(std::move(reply));
        } else if (const auto *query = std::get_if<job_queried>(&event)) {
            reply_job reply;
            reply.request = query->request;
            reply.answer.state = job_state::running;
            front.post(std::move(reply));
        }
    };
}

std::string validTicket(std::uint64_t sequence)
{
    return ticket_codec(scripted_entry::defaultSettings().ticketKey).encode({"127.0.0.1:7001", {7, sequence}, std::chrono::milliseconds(5)});
}

std::string submissionBody(const std::string &ticket, const std::vector<std::string> &tasks)
{
    return nlohmann::json{{"ticket", ticket}, {"team", "portal"}, {"kind", "check"}, {"time_limit_ms", 5000}, {"tasks", tasks}}.dump();
}

} // namespace teaselward
