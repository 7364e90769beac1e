#include "platform/job_codec.h"

#include "core/reason_text.h"
#include "platform/json_reader.h"

#include <algorithm>
#include <array>
#include <limits>
#include <optional>

namespace teaselward
{

namespace
{

using nlohmann::json;

constexpr std::size_t SpecLimit = 4000; // Maximum bytes of a specification.
constexpr std::uint64_t CountLimit = std::numeric_limits<std::uint32_t>::max();

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusTimeout = 504;

// Members of a step that are not supported yet.
constexpr std::array UnsupportedMembers = {
    "DependsOn",
    "Checkpoints",
    "Gang",
    "SameRack",
    "Requires",
    "Affinity",
    "AntiAffinity",
    "AllowDuplicates",
    "Persistent",
    "Image",
    "TargetMs",
    "Fills",
    "MayMiss",
};

// A member that is null, zero, false or empty means the same as an omitted one.
bool isSet(const json &member)
{
    const bool isZero = member.is_null() || (member.is_number() && member == 0) || (member.is_boolean() && !member.get<bool>());
    return !isZero && !(member.is_string() && member.get_ref<const std::string &>().empty()) && !(member.is_array() && member.empty());
}

std::optional<std::uint32_t> readCount(const json &item, const char *name)
{
    const auto value = readOptionalNumber(item, name);
    return value && *value <= CountLimit ? std::optional(static_cast<std::uint32_t>(*value)) : std::nullopt;
}

std::optional<job_step> decodeStep(const json &item)
{
    const auto tasks = readCount(item, "Count");
    const auto cpu = readCount(item, "Cpu");
    const auto memory = readCount(item, "MemMb");
    const auto gpus = readCount(item, "Gpu");
    const auto estimate = readCount(item, "EstimateMs");
    if (!item.is_object() || !tasks || *tasks == 0 || !cpu || !memory || !gpus || !estimate) {
        return std::nullopt;
    }
    job_step step;
    step.tasks = *tasks;
    step.needs = {.cpuMillis = *cpu, .memoryMb = *memory, .gpus = *gpus};
    step.estimate = std::chrono::milliseconds(*estimate);
    step.isSupported = std::ranges::none_of(UnsupportedMembers, [&item](const char *name) {
        const json *member = findMember(item, name);
        return member != nullptr && isSet(*member);
    });
    return step;
}

} // namespace

std::string decodeJob(std::string_view text, job_body &body)
{
    const auto object = parseJson(text);
    if (!object || !object->is_object()) {
        return "the body is not a JSON object";
    }
    auto spec = readText(*object, "Spec");
    if (!spec || spec->size() > SpecLimit) {
        return "the specification is missing or too long";
    }
    const auto bestEffort = readFlag(*object, "BestEffort");
    const auto repeats = readOptionalNumber(*object, "Repeats");
    const json *steps = findMember(*object, "Steps");
    if (!bestEffort || !repeats || steps == nullptr || !steps->is_array() || steps->empty()) {
        return "the steps or the form of the job are malformed";
    }
    body = {.spec = std::move(*spec), .steps = {}, .bestEffort = *bestEffort, .isRecurring = *repeats > 0};
    for (const json &item : *steps) {
        const auto step = decodeStep(item);
        if (!step) {
            return "a step is malformed";
        }
        body.steps.push_back(*step);
    }
    return {};
}

http_response encodeClientError(unsigned status, reason why, std::string_view text)
{
    http_response response;
    response.status = status;
    response.why = why;
    response.body = json{{"Error", std::string(text)}}.dump();
    return response;
}

http_response encodeJobAnswer(const job_answer &answer)
{
    http_response response;
    response.why = answer.why;
    if (answer.state == job_state::complete || answer.why == reason::taskFailed) {
        response.status = StatusOk;
        response.body = json{{"State", answer.state == job_state::complete ? "completed" : "failed"}}.dump();
        return response;
    }
    response = encodeClientError(answer.notRun ? StatusUnavailable : StatusTimeout, answer.why, reasonText(answer.why));
    response.retryAfter = answer.retryAfter;
    return response;
}

http_response encodePendingCount(std::uint64_t count)
{
    http_response response;
    response.body = json{{"PendingCount", count}}.dump();
    return response;
}

} // namespace teaselward
