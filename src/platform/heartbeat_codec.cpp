#include "platform/heartbeat_codec.h"

#include "platform/json_reader.h"

#include <limits>

namespace teaselward
{

namespace
{

using nlohmann::json;

std::optional<std::uint32_t> readUint32(const json &object, const char *name)
{
    const auto value = readNumber(object, name);
    return value && *value <= std::numeric_limits<std::uint32_t>::max() ? std::optional(static_cast<std::uint32_t>(*value)) : std::nullopt;
}

} // namespace

std::optional<endpoint_announcement> decodeHeartbeat(std::string_view id, std::string_view text)
{
    const auto object = parseJson(text);
    if (!object || id.empty()) {
        return std::nullopt;
    }
    const auto service = readText(*object, "Service");
    const auto address = readText(*object, "Address");
    const auto zone = readText(*object, "Zone");
    const auto state = readText(*object, "State");
    const auto slots = readUint32(*object, "Slots");
    const auto sequence = readNumber(*object, "Sequence");
    const json *capacity = findMember(*object, "Capacity");
    if (!service || !address || !zone || !state || !slots || !sequence || capacity == nullptr) {
        return std::nullopt;
    }
    const auto cpu = readUint32(*capacity, "Cpu");
    const auto memory = readUint32(*capacity, "MemMb");
    const auto gpus = readOptionalNumber(*capacity, "Gpu");
    const auto born = readOptionalNumber(*object, "born");
    if (!cpu || !memory || !gpus || !born || (*state != "ready" && *state != "draining")) {
        return std::nullopt;
    }
    endpoint_announcement found;
    found.id = std::string(id);
    found.endpointStart = std::chrono::milliseconds(*born);
    found.service = *service;
    found.address = *address;
    found.failureDomain = *zone;
    found.slots = *slots;
    found.capacity = {.cpuMillis = *cpu, .memoryMb = *memory, .gpus = static_cast<std::uint32_t>(*gpus)};
    found.isDraining = *state == "draining";
    found.sequence = *sequence;
    return found;
}

} // namespace teaselward
