#include "http/request_codec.h"

#include "http/drain_request.h"
#include "http/json_object_reader.h"

#include <array>
#include <charconv>

namespace teaselward
{

namespace
{

// Maximum bytes of a team, a kind and a key. They are repeated in queues and log lines.
constexpr std::size_t MaxNameSize = 200;

// Maximum time limit of a drain. It only prevents overflow in the computation of deadlines.
constexpr std::chrono::milliseconds MaxDrainBound = std::chrono::hours(24);

constexpr std::array TicketsFields = {
    json_field<tickets_request>{"count", false, &tickets_request::count},
};

constexpr std::array SubmissionFields = {
    json_field<submission_request>{"ticket", true, &submission_request::ticket},
    json_field<submission_request>{"team", true, &submission_request::team},
    json_field<submission_request>{"kind", true, &submission_request::kind},
    json_field<submission_request>{"time_limit_ms", false, &submission_request::timeLimitMs},
    json_field<submission_request>{"tasks", true, &submission_request::tasks},
    json_field<submission_request>{"key", false, &submission_request::key},
    json_field<submission_request>{"first_attempt", false, &submission_request::firstAttempt},
};

constexpr std::array DrainFields = {
    json_field<drain_request>{"bound_ms", false, &drain_request::boundMs},
};

} // namespace

std::string decodeTicketsRequest(std::string_view text, tickets_request &request)
{
    if (text.empty()) {
        return {};
    }
    return json_object_reader<tickets_request>(TicketsFields, 0).read(text, request);
}

std::string decodeSubmission(std::string_view text, std::size_t taskLimit, submission_request &request)
{
    std::string error = json_object_reader<submission_request>(SubmissionFields, taskLimit).read(text, request);
    if (!error.empty()) {
        return error;
    }
    if (request.tasks.empty()) {
        return "the field 'tasks' is empty";
    }
    if (request.kind.empty() || request.kind.size() > MaxNameSize || request.team.size() > MaxNameSize || request.key.size() > MaxNameSize) {
        return "the fields 'kind', 'team' and 'key' have at most " + std::to_string(MaxNameSize) + " bytes, and 'kind' is not empty";
    }
    return {};
}

std::string decodeDrainRequest(std::string_view text, std::chrono::milliseconds &bound)
{
    if (text.empty()) {
        return {};
    }
    drain_request request;
    std::string error = json_object_reader<drain_request>(DrainFields, 0).read(text, request);
    if (error.empty() && request.boundMs > static_cast<std::uint64_t>(MaxDrainBound.count())) {
        error = "the field 'bound_ms' is too large";
    }
    if (error.empty() && request.boundMs > 0) {
        bound = std::chrono::milliseconds(request.boundMs);
    }
    return error;
}

std::optional<std::chrono::milliseconds> decodeTime(std::string_view text, std::chrono::milliseconds limit)
{
    if (text.empty()) {
        return std::chrono::milliseconds(0);
    }
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value > static_cast<std::uint64_t>(limit.count())) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

} // namespace teaselward
