#include "rpc/link_table.h"

#include "rpc/rpc_limits.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <string>
#include <utility>
#include <vector>

namespace teaselward
{

namespace
{

// Interval at which flush() and finish() check their conditions.
constexpr std::chrono::milliseconds PollInterval{5};

kj::Duration kjDuration(std::chrono::milliseconds value)
{
    return value.count() * kj::MILLISECONDS;
}

} // namespace

link_table::link_table(kj::Timer &timer, std::chrono::milliseconds lease, std::chrono::milliseconds heartbeat, traffic_counter &traffic, logger &log)
    : m_timer(timer)
    , m_lease(lease)
    , m_heartbeat(heartbeat)
    , m_traffic(traffic)
    , m_log(log)
    , m_tasks(*this)
{
}

link_table::~link_table() = default;

rpc_link *link_table::add(kj::Own<kj::AsyncIoStream> stream, link_side side)
{
    if (m_unregistered.size() >= MaxUnregisteredLinks) {
        pruneUnregistered();
    }
    if (m_links.size() >= MaxLinks || m_unregistered.size() >= MaxUnregisteredLinks) {
        m_log.write(log_part::rpc, "Connection refused: the table of connections is full.");
        return nullptr;
    }
    // Nagle's algorithm would hold back a start until the message before it is acknowledged.
    const int on = 1;
    stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const mono_time now = mono_clock::now();
    const std::uint64_t number = ++m_lastNumber;
    auto link = std::make_unique<rpc_link>(number, std::move(stream), session_monitor(m_lease, m_heartbeat, now), m_traffic, side);
    m_unregistered.emplace(number, now + m_lease);
    return m_links.emplace(number, std::move(link)).first->second.get();
}

void link_table::watch(rpc_link &link)
{
    const std::uint64_t number = link.number();
    m_tasks.add(link.onDisconnect().then([this, number] {
        close(number, "ended");
    }));
}

rpc_link *link_table::find(std::uint64_t number)
{
    const auto found = m_links.find(number);
    return found != m_links.end() ? found->second.get() : nullptr;
}

void link_table::close(std::uint64_t number, std::string_view why)
{
    const auto found = m_links.find(number);
    if (found == m_links.end()) {
        return;
    }
    std::unique_ptr<rpc_link> link = std::move(found->second);
    m_links.erase(found);
    m_unregistered.erase(number);
    if (m_log.isEnabled()) {
        m_log.write(log_part::rpc, "Connection closed. link=" + std::to_string(number) + " why=" + std::string(why));
    }
    if (link->user()) {
        link->user()->handleLost();
    }
    m_tasks.add(kj::evalLater([link = std::move(link)]() mutable {
        link.reset();
    }));
}

void link_table::closeAfter(std::uint64_t number, std::chrono::milliseconds delay, std::string_view why)
{
    m_tasks.add(m_timer.afterDelay(kjDuration(delay)).then([this, number, why] {
        close(number, why);
    }));
}

// A connection whose first message is not accepted within one lease is closed, however much it sends.
void link_table::check(mono_time now)
{
    std::vector<std::uint64_t> expired;
    pruneUnregistered();
    for (const auto &[number, end] : m_unregistered) {
        if (end < now) {
            expired.push_back(number);
        }
    }
    for (const auto &[number, link] : m_links) {
        const session_state verdict = link->monitor().check(now);
        if (verdict == session_state::expired) {
            expired.push_back(number);
        } else if (link->isRegistered() && link->user() && (verdict == session_state::heartbeatDue || link->user()->needsAnswer(now))) {
            link->user()->sendPing();
        }
    }
    for (const std::uint64_t number : expired) {
        close(number, "lease ended");
    }
}

void link_table::pruneUnregistered()
{
    std::erase_if(m_unregistered, [this](const auto &item) {
        return m_links.at(item.first)->isRegistered();
    });
}

kj::Promise<void> link_table::flush(std::chrono::milliseconds bound)
{
    return m_timer.afterDelay(kjDuration(PollInterval)).then([this, bound]() -> kj::Promise<void> {
        bool isQueued = false;
        for (const auto &[number, link] : m_links) {
            isQueued = isQueued || link->queuedBytes() > 0;
        }
        if (!isQueued || bound <= PollInterval) {
            return kj::READY_NOW;
        }
        return flush(bound - PollInterval);
    });
}

kj::Promise<void> link_table::finish(std::chrono::milliseconds bound)
{
    for (const auto &[number, link] : m_links) {
        // The shutdown of a connection that has already failed throws; the exception is only logged.
        KJ_IF_MAYBE (failure, kj::runCatchingExceptions([&link = *link] {
                         link.finishSending();
                     })) {
            taskFailed(kj::mv(*failure));
        }
    }
    return waitUntilClosed(bound);
}

kj::Promise<void> link_table::waitUntilClosed(std::chrono::milliseconds bound)
{
    if (m_links.empty() || bound <= bound.zero()) {
        return kj::READY_NOW;
    }
    return m_timer.afterDelay(kjDuration(PollInterval)).then([this, bound] {
        return waitUntilClosed(bound - PollInterval);
    });
}

std::size_t link_table::size() const
{
    return m_links.size();
}

void link_table::taskFailed(kj::Exception &&exception)
{
    if (m_log.isEnabled()) {
        m_log.write(log_part::rpc, std::string("Connection failed. text=") + exception.getDescription().cStr());
    }
}

} // namespace teaselward
