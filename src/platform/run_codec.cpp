#include "platform/run_codec.h"

#include "platform/json_reader.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <limits>
#include <optional>
#include <vector>

namespace teaselward
{

namespace
{

using nlohmann::json;

constexpr double MaxPercent = 100;
constexpr number_range ClockMs{.min = 0, .max = std::uint64_t{1} << 53};

constexpr long StatusOk = 200;
constexpr long StatusBadRequest = 400;
constexpr long StatusConflict = 409;
constexpr long StatusMisdirected = 421;
constexpr long StatusTooManyRequests = 429;
constexpr long StatusUnavailable = 503;

/** Maps the reason that a worker gives for a conflict to the result of the call. */
struct conflict_row {
    std::string_view text;
    call_result result;
};

constexpr std::array Conflicts = {
    conflict_row{"fence", call_result::fenced},
    conflict_row{"old", call_result::outdated},
    conflict_row{"late", call_result::expired},
    conflict_row{"room", call_result::full},
};

/** Maps the word for the end of a run to its result. */
struct result_row {
    std::string_view text;
    run_result result;
};

constexpr std::array Results = {
    result_row{"done", run_result::done},
    result_row{"failed", run_result::failed},
    result_row{"stopped", run_result::stopped},
    result_row{"lapsed", run_result::lapsed},
    result_row{"broken", run_result::gangBroken},
    result_row{"alone", run_result::gangIncomplete},
};

// Task name of the form job.occurrence.step.index. Occurrence and step are zero, because each job runs once and has one step.
std::string taskName(const run_id &id)
{
    return absl::StrCat(id.job, ".0.0.", id.index);
}

std::optional<run_id> readRun(const json &name, const json &attempt)
{
    if (!name.is_string() || !attempt.is_number_unsigned() || attempt.get<std::uint64_t>() > std::numeric_limits<std::uint32_t>::max()) {
        return std::nullopt;
    }
    const std::vector<std::string> parts = absl::StrSplit(name.get<std::string>(), '.');
    run_id id;
    if (parts.size() != 4 || !absl::SimpleAtoi(parts[3], &id.index)) {
        return std::nullopt;
    }
    id.job = parts[0];
    id.attempt = attempt.get<std::uint32_t>();
    return id;
}

// Decodes the row of a run: name, attempt, checkpoint, progress in percent and resource use.
bool readRunning(const json &row, run_progress &progress)
{
    if (!row.is_array() || row.size() < 4 || !row[3].is_number()) {
        return false;
    }
    const auto id = readRun(row[0], row[1]);
    if (!id) {
        return false;
    }
    progress = {.id = *id, .percent = static_cast<std::uint32_t>(std::clamp(row[3].get<double>(), 0.0, MaxPercent))};
    return true;
}

// Decodes the row of a finished run: number, name, attempt, result and checkpoint.
bool readEnd(const json &row, run_end &end)
{
    if (!row.is_array() || row.size() < 4 || !row[0].is_number_unsigned() || !row[3].is_string()) {
        return false;
    }
    const auto id = readRun(row[1], row[2]);
    const auto word = std::ranges::find(Results, row[3].get_ref<const std::string &>(), &result_row::text);
    if (!id || word == Results.end()) {
        return false;
    }
    end = {.number = row[0].get<std::uint64_t>(), .id = *id, .result = word->result};
    return true;
}

} // namespace

std::string encodeCall(const start_run &call)
{
    return json{{"Task", taskName(call.id)},
                {"Attempt", call.id.attempt},
                {"Spec", call.spec},
                {"DeadlineMs", call.leaseEnd.count()},
                {"FenceToken", call.fencingToken}}
        .dump();
}

std::string encodeCall(const stop_run &call)
{
    return json{{"Task", taskName(call.id)}, {"Attempt", call.id.attempt}, {"FenceToken", call.fencingToken}}.dump();
}

std::string encodeCall(const list_runs &call)
{
    json body{{"FenceToken", call.fencingToken}, {"AckCursor", call.acknowledged}};
    if (call.leaseEnd) {
        body["DeadlineMs"] = call.leaseEnd->count();
    }
    if (call.wait.count() > 0) {
        body["WaitMs"] = call.wait.count();
    }
    return body.dump();
}

call_result decodeResult(long status, std::string_view body)
{
    switch (status) {
    case StatusOk:
        return call_result::accepted;
    case StatusBadRequest:
        return call_result::invalid;
    case StatusMisdirected:
        return call_result::endpointRestarted;
    case StatusTooManyRequests:
    case StatusUnavailable:
        return call_result::unhealthy;
    case StatusConflict: {
        const auto object = parseJson(body);
        const auto why = object ? readText(*object, "Reason") : std::nullopt;
        const auto found = std::ranges::find(Conflicts, why.value_or(std::string()), &conflict_row::text);
        return found != Conflicts.end() ? found->result : call_result::unanswered;
    }
    default:
        return call_result::unanswered;
    }
}

bool decodeLists(std::string_view body, list_runs_result &lists)
{
    const auto object = parseJson(body);
    const json *running = object ? findMember(*object, "Running") : nullptr;
    const json *ended = object ? findMember(*object, "Finished") : nullptr;
    const auto clock = object ? readNumber(*object, "ClockMs", ClockMs) : std::nullopt;
    if (running == nullptr || !running->is_array() || ended == nullptr || !ended->is_array() || !clock) {
        return false;
    }
    lists.endpointTime = std::chrono::milliseconds(*clock);
    if (const auto born = readNumber(*object, "born", ClockMs)) {
        lists.endpointStart = std::chrono::milliseconds(*born);
    }
    for (const json &row : *running) {
        if (!readRunning(row, lists.running.emplace_back())) {
            return false;
        }
    }
    for (const json &row : *ended) {
        if (!readEnd(row, lists.ended.emplace_back())) {
            return false;
        }
    }
    return true;
}

} // namespace teaselward
