#pragma once

#include "base/bounded_ring.h"
#include "base/duty_thread.h"
#include "http/front_end.h"
#include "log/null_logger.h"

#include <absl/synchronization/mutex.h>

#include <functional>
#include <memory>
#include <vector>

namespace teaselward
{

/** Front end whose decision thread is replaced by a script: a function that is called with each event on a separate thread. */
class scripted_entry
{
public:
    using script = std::function<void(const entry_event &event, front_end &front)>;

    /** Starts a front end on an ephemeral port of the loopback address. Without a script, no event leaves the ring. */
    explicit scripted_entry(script answer = {}, const front_end_settings &settings = defaultSettings(), std::size_t ringCapacity = 1024);
    ~scripted_entry();

    scripted_entry(const scripted_entry &) = delete;
    scripted_entry &operator=(const scripted_entry &) = delete;

    static front_end_settings defaultSettings();

    front_end &front();
    bounded_ring<entry_event> &events();
    std::string address();
    std::string operatorAddress();

    /** Number of events that the script has received. */
    int eventCount() const;

private:
    null_logger m_log;
    bounded_ring<entry_event> m_events;
    front_end m_front;
    script m_script;
    mutable absl::Mutex m_mutex;
    int m_count ABSL_GUARDED_BY(m_mutex) = 0;
    std::unique_ptr<duty_thread> m_thread;
};

/**
 * Script that answers each submission with its payloads as results, each request for tickets with numbered tickets and each
 * query with a running job.
 */
scripted_entry::script echoScript();

/** Encoded ticket that the default settings accept. */
std::string validTicket(std::uint64_t sequence = 1);

/** Body of a submission. */
std::string submissionBody(const std::string &ticket, const std::vector<std::string> &tasks);

} // namespace teaselward
