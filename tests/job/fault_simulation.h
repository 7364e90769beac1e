#pragma once

#include "agent/agent_core.h"
#include "job/entry_core.h"
#include "log/null_logger.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace teaselward
{

/**
 * Simulates entries, agents, endpoints and callers in virtual time, with lost connections, crashed or paused processes and
 * failing endpoints. Records the runs at the endpoints and the answers to the callers, and counts violations of the guarantees.
 */
class fault_simulation
{
public:
    /**
     * Creates the simulation.
     * @param seed seed of the random number generator
     * @param faultRate faults per second of virtual time; zero for none
     */
    fault_simulation(std::uint32_t seed, double faultRate);
    ~fault_simulation();

    fault_simulation(const fault_simulation &) = delete;
    fault_simulation &operator=(const fault_simulation &) = delete;

    /**
     * Makes callers submit jobs and resubmit them if they get no answer, and runs until nothing is in progress.
     * @param jobs number of jobs
     */
    void run(int jobs);

    int completeJobs = 0; ///< Jobs whose caller got a complete answer.
    int failedJobs = 0; ///< Jobs whose caller got a failure.
    int duplicateRuns = 0; ///< Tasks that an endpoint ran more than once.
    int wrongAnswers = 0; ///< Complete answers with wrong results, and failures with results.
    int falseNotRun = 0; ///< Answers that say "not run" for a job of which a task ran.
    int lostRequests = 0; ///< Requests to a live entry that were never answered.
    int duplicateAnswers = 0; ///< Requests that were answered twice.
    int fences = 0; ///< Fences sent; shows that recoveries took place.
    int revocations = 0; ///< Revocations sent; shows that starts became ambiguous.

    static constexpr std::size_t Entries = 3;
    static constexpr std::size_t Agents = 4;
    static constexpr std::uint32_t Slots = 4;

    /**
     * Returns the result of an endpoint for a payload.
     * @param payload the payload
     */
    static std::string resultOf(const std::string &payload);

private:
    struct entry_process {
        std::unique_ptr<entry_core> core;
        std::uint64_t id = 0;
        std::string address;
        mono_time pausedUntil{};
        std::map<std::uint64_t, std::uint64_t> peerRequests; ///< Forwarded call by request number of the peer.
    };
    struct agent_process {
        std::unique_ptr<agent_core> core;
        std::uint64_t id = 0;
        std::string address;
    };
    struct link {
        bool isUp = false;
        std::uint64_t generation = 0; ///< Messages sent in an earlier generation are lost.
    };
    struct caller_job {
        job_request job;
        bool hasFinalAnswer = false;
        bool sawFailedNotRun = false;
        int attempts = 0;
    };
    struct open_request {
        std::size_t job = 0;
        std::uint64_t entryId = 0;
        bool isAnswered = false;
    };
    struct forwarded_call {
        std::size_t from = 0;
        std::uint64_t fromId = 0;
        request_id request;
        bool isDone = false;
    };

    void schedule(std::chrono::microseconds delay, std::function<void()> callback);
    std::chrono::microseconds randomBetween(std::chrono::microseconds least, std::chrono::microseconds most);
    bool chance(double probability);
    void startEntry(std::size_t entry);
    void startAgent(std::size_t agent);
    void connect(std::size_t entry, std::size_t agent);
    void disconnect(std::size_t entry, std::size_t agent);
    void toEntry(std::size_t entry, std::uint64_t id, const entry_event &event);
    void toAgent(std::size_t agent, std::uint64_t id, const agent_event &event);
    void send(std::size_t entry, std::size_t agent, std::function<void()> deliver);
    void wakeEntry(std::size_t entry);
    void wakeAgent(std::size_t agent);
    void perform(std::size_t entry, const entry_action &action);
    void perform(std::size_t agent, const agent_action &action);
    call_id newCall(std::size_t entry);
    void sendToAgent(std::size_t entry, const agent_id &id, const agent_event &event);
    void sendToCaller(std::size_t agent, const call_id &call, const entry_event &event);
    void deliver(std::size_t entry, const start_task &action);
    void deliver(std::size_t entry, const revoke_task &action);
    void deliver(std::size_t entry, const fence_ticket &action);
    void deliver(std::size_t entry, const send_demand &action);
    void deliver(std::size_t entry, const forward_job &action);
    void deliver(std::size_t entry, const reply_tickets &action);
    void deliver(std::size_t entry, const reply_job &action);
    void deliver(std::size_t agent, const answer_start &action);
    void deliver(std::size_t agent, const answer_revoke &action);
    void deliver(std::size_t agent, const answer_fence &action);
    void deliver(std::size_t agent, const call_endpoint &action);
    void deliver(std::size_t agent, const grant_credits &action);
    void deliver(std::size_t agent, const report_crash &action);

    /** Ignores actions that need no message in the simulation. */
    template<typename Action>
    void deliver(std::size_t /*process*/, const Action & /*action*/)
    {
    }

    void forward(std::size_t entry, const request_id &request, const ticket &source, std::function<entry_event(request_id)> event);
    void answerForward(std::uint64_t call, bool reached, bool otherIncarnation, const job_answer &answer);
    void runOnEndpoint(std::size_t agent, const call_endpoint &call);
    void requestTicket(std::size_t job);
    void submit(std::size_t job);
    void answered(const reply_job &reply);
    void injectFault();
    std::size_t agentOf(const agent_id &id) const;

    std::mt19937 m_random;
    double m_faultRate;
    null_logger m_log;
    mono_time m_now{std::chrono::hours(1)};
    std::multimap<mono_time, std::function<void()>> m_events;
    std::uint64_t m_ids = 1000;
    std::vector<entry_process> m_entries;
    std::vector<agent_process> m_agents;
    std::map<std::pair<std::size_t, std::size_t>, link> m_links;
    std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> m_calls; ///< Entry and its incarnation by call at an agent.
    std::map<std::uint64_t, ticket_id> m_fencedTickets; ///< By call.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::map<std::uint32_t, int>> m_runs; ///< Number of runs by ticket and task.
    std::vector<caller_job> m_jobs;
    std::map<std::uint64_t, open_request> m_requests;
    std::map<std::uint64_t, forwarded_call> m_forwards;
    std::map<std::uint64_t, std::size_t> m_ticketRequests;
    bool m_faultsEnabled = true;
};

} // namespace teaselward
