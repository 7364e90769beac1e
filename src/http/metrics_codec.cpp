#include "http/metrics_codec.h"

#include "metrics/exposition_writer.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace teaselward
{

namespace
{

/** Metric that has one sample for each queue. */
struct queue_metric {
    std::string_view name;
    std::string_view type;
    std::string_view help;
    double (*value)(const queue_status &queue);
};

constexpr std::array QueueMetrics = {
    queue_metric{"teaselward_queued_tasks",
                 "gauge",
                 "Tasks that wait in the queue.",
                 [](const queue_status &queue) {
                     return static_cast<double>(queue.queued);
                 }},
    queue_metric{"teaselward_started_tasks",
                 "gauge",
                 "Tasks that are sent to an agent and not finished.",
                 [](const queue_status &queue) {
                     return static_cast<double>(queue.started);
                 }},
    queue_metric{"teaselward_admitted_tasks_total",
                 "counter",
                 "Tasks that were admitted.",
                 [](const queue_status &queue) {
                     return static_cast<double>(queue.admitted);
                 }},
    queue_metric{"teaselward_refused_tasks_total",
                 "counter",
                 "Tasks that were refused.",
                 [](const queue_status &queue) {
                     return static_cast<double>(queue.refused);
                 }},
};

// Indexed by the value of the enumerator.
constexpr std::array<std::string_view, 6> Healths = {"healthy", "saturated", "failing", "leaving", "lost", "evacuated"};

void writeGauge(exposition_writer &writer, std::string_view name, std::string_view help, double value)
{
    writer.family(name, "gauge", help);
    writer.sample(name, {}, value);
}

void writeQueues(exposition_writer &writer, const std::vector<queue_status> &queues)
{
    for (const queue_metric &metric : QueueMetrics) {
        writer.family(metric.name, metric.type, metric.help);
        for (const queue_status &queue : queues) {
            writer.sample(metric.name, {{"kind", queue.kind}, {"team", queue.team}}, metric.value(queue));
        }
    }
}

// The first decision stands for jobs that were not refused.
void writeRefusals(exposition_writer &writer, const refusal_counts &refusals)
{
    writer.family("teaselward_refused_jobs_total", "counter", "Jobs refused for lack of capacity, by decision.");
    for (std::size_t i = 1; i < RefusalDecisionNames.size(); ++i) {
        writer.sample("teaselward_refused_jobs_total", {{"decision", RefusalDecisionNames.at(i)}}, static_cast<double>(refusals.jobs.at(i)));
    }
}

// Counts the endpoints by health. A time series for each of several thousand endpoints would cost more than it is worth.
void writeEndpoints(exposition_writer &writer, const std::vector<endpoint_status> &endpoints)
{
    writer.family("teaselward_endpoints", "gauge", "Endpoints by health.");
    for (std::size_t i = 0; i < Healths.size(); ++i) {
        const auto count = std::count_if(endpoints.begin(), endpoints.end(), [i](const endpoint_status &endpoint) {
            return static_cast<std::size_t>(endpoint.health) == i;
        });
        writer.sample("teaselward_endpoints", {{"health", Healths[i]}}, static_cast<double>(count));
    }
    std::uint64_t credits = 0;
    std::uint64_t outstanding = 0;
    for (const endpoint_status &endpoint : endpoints) {
        credits += endpoint.credits;
        outstanding += endpoint.outstanding;
    }
    writeGauge(writer, "teaselward_slot_credits", "Free slot credits that the entry holds.", static_cast<double>(credits));
    writeGauge(writer, "teaselward_outstanding_tasks", "Tasks that the entry has started at endpoints.", static_cast<double>(outstanding));
}

} // namespace

http_response encodeMetrics(const entry_status &status, const request_metrics &requests, std::int64_t callerConnections, std::int64_t operatorConnections)
{
    exposition_writer writer;
    requests.write(writer);
    writer.family("teaselward_connections", "gauge", "Open connections.");
    writer.sample("teaselward_connections", {{"listener", "caller"}}, static_cast<double>(callerConnections));
    writer.sample("teaselward_connections", {{"listener", "operator"}}, static_cast<double>(operatorConnections));
    writeGauge(writer, "teaselward_draining", "1 while the entry drains.", status.draining ? 1 : 0);
    writeGauge(writer, "teaselward_rules_offset", "Log offset of the rules in force.", static_cast<double>(status.rulesOffset));
    writeGauge(
        writer, "teaselward_evacuated_failure_domains", "Failure domains that the operators have evacuated.", static_cast<double>(status.evacuatedDomains));
    writer.family("teaselward_evacuated_starts_refused_total", "counter", "Starts that agents refused because their failure domain is evacuated.");
    writer.sample("teaselward_evacuated_starts_refused_total", {}, static_cast<double>(status.evacuatedRefusals));
    writeGauge(writer, "teaselward_running_jobs", "Jobs without a final answer.", static_cast<double>(status.runningJobs));
    writeGauge(writer, "teaselward_kept_answers", "Finished jobs whose answers are kept.", static_cast<double>(status.keptAnswers));
    writeGauge(writer, "teaselward_peers", "Connected entries.", static_cast<double>(status.peers.size()));
    writeGauge(writer, "teaselward_interfering_pairs", "Pairs of kinds that are separated.", static_cast<double>(status.separation.pairs));
    writer.family("teaselward_separated_tasks_total", "counter", "Placed tasks of separated kinds, by whether their group had a credit.");
    writer.sample("teaselward_separated_tasks_total", {{"group", "own"}}, static_cast<double>(status.separation.separated));
    writer.sample("teaselward_separated_tasks_total", {{"group", "other"}}, static_cast<double>(status.separation.mixed));
    writeQueues(writer, status.queues);
    writeRefusals(writer, status.refusals);
    writeEndpoints(writer, status.endpoints);
    http_response response;
    response.body = writer.take();
    response.contentType = exposition_writer::ContentType;
    return response;
}

} // namespace teaselward
