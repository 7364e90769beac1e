#include "http/status_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iterator>
#include <string>
#include <string_view>

namespace teaselward
{

namespace
{

using json = nlohmann::ordered_json;

constexpr unsigned Ok = 200;
constexpr unsigned Accepted = 202;
constexpr unsigned ServiceUnavailable = 503;

// Indexed by the value of the enumerator.
constexpr std::array<std::string_view, 6> Healths = {"healthy", "saturated", "failing", "leaving", "lost", "evacuated"};

http_response respond(unsigned status, const json &body)
{
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return response;
}

// Incarnations are encoded as strings, because many JSON libraries read numbers as doubles, which hold only 53 bits.
json encodeEntry(const entry_info &info)
{
    return {{"incarnation", std::to_string(info.id.value)}, {"address", info.address}, {"failure_domain", info.failureDomain}};
}

json encodeEndpoint(const endpoint_status &status)
{
    return {{"incarnation", std::to_string(status.info.id.value)},
            {"address", status.info.address},
            {"failure_domain", status.info.failureDomain},
            {"slots", status.info.slots},
            {"connections", status.info.connections},
            {"kinds", status.info.kinds},
            {"leaving", status.info.leaving},
            {"health", Healths.at(static_cast<std::size_t>(status.health))},
            {"why", status.why},
            {"credits", status.credits},
            {"outstanding", status.outstanding},
            {"run_time_factor", status.relativeFactor},
            {"speed_class", status.speedClass}};
}

json encodeQueue(const queue_status &status)
{
    return {{"kind", status.kind},
            {"team", status.team},
            {"queued", status.queued},
            {"started", status.started},
            {"admitted", status.admitted},
            {"refused", status.refused}};
}

template<typename T>
json encodeList(const std::vector<T> &items, json (*encode)(const T &))
{
    json list = json::array();
    std::transform(items.begin(), items.end(), std::back_inserter(list), encode);
    return list;
}

} // namespace

http_response encodeStatus(const entry_status &status)
{
    return respond(Ok,
                   {{"entry", encodeEntry(status.self)},
                    {"draining", status.draining},
                    {"rules_offset", status.rulesOffset},
                    {"running_jobs", status.runningJobs},
                    {"kept_answers", status.keptAnswers},
                    {"peers", encodeList(status.peers, &encodeEntry)},
                    {"endpoints", encodeList(status.endpoints, &encodeEndpoint)},
                    {"queues", encodeList(status.queues, &encodeQueue)}});
}

http_response encodeReadiness(const entry_status &status)
{
    if (status.draining) {
        http_response response = respond(ServiceUnavailable, {{"ready", false}, {"why", "draining"}});
        response.why = reason::draining;
        return response;
    }
    if (status.rulesOffset == 0) {
        return respond(ServiceUnavailable, {{"ready", false}, {"why", "no rules are known"}});
    }
    return respond(Ok, {{"ready", true}});
}

http_response encodeLiveness()
{
    return respond(Ok, {{"alive", true}});
}

http_response encodeDrainStarted(std::chrono::milliseconds bound)
{
    return respond(Accepted, {{"draining", true}, {"bound_ms", bound.count()}});
}

} // namespace teaselward
