#include "platform/heartbeat_codec.h"

#include "http/listen_address.h"
#include "platform/json_reader.h"

#include <algorithm>
#include <array>
#include <span>
#include <system_error>

namespace teaselward
{

namespace
{

using nlohmann::json;

// Accepted values. Sums of the resources stay below the range of 32 bits.
constexpr number_range Slots{.min = 0, .max = 4096};
constexpr number_range CpuMillis{.min = 0, .max = 16'000'000};
constexpr number_range MemoryMb{.min = 0, .max = 1U << 30};
constexpr number_range Gpus{.min = 0, .max = 4096};
constexpr number_range Sequence{.min = 0, .max = std::uint64_t{1} << 53}; // Larger integers are not exact in every JSON library.
constexpr number_range StartMs{.min = 0, .max = 7'258'118'400'000}; // Until the year 2200.

constexpr number_range RemainingMs{.min = 0, .max = std::uint64_t{24} * 60 * 60 * 1000}; // A day; the platform announces seconds.

constexpr std::size_t MaxIdLength = 128;
constexpr std::size_t MaxMachineTypeLength = 64;

// Checks the id, which is sent back to the endpoint in a header: a line break in it would add a header.
bool isId(std::string_view id)
{
    return !id.empty() && id.size() <= MaxIdLength && std::ranges::all_of(id, [](char c) {
        return c > ' ' && c <= '~';
    });
}

/** Result of the check of one part of a heartbeat. */
struct member_check {
    std::string_view name;
    bool isGood;
};

// Checks the labels, of which the agent uses the first only.
bool hasLabels(const json &object)
{
    const json *labels = findMember(object, "Labels");
    return labels != nullptr && labels->is_array() && std::ranges::all_of(*labels, [](const json &label) {
               return label.is_string();
           });
}

// Names the first part that failed its check, and returns whether there is one.
bool findFault(std::span<const member_check> checks, std::string_view *fault)
{
    const auto wrong = std::ranges::find(checks, false, &member_check::isGood);
    if (wrong != checks.end() && fault != nullptr) {
        *fault = wrong->name;
    }
    return wrong != checks.end();
}

// Returns the first label, which names the type of the machine; the second one names its rack.
std::string machineType(const json &object)
{
    const json &labels = *findMember(object, "Labels");
    const std::string type = labels.empty() ? std::string() : labels.front().get<std::string>();
    return type.size() <= MaxMachineTypeLength ? type : std::string();
}

// Checks that the address names an endpoint that can be called: an IP address and a port other than zero.
bool isCallable(const std::string &address)
{
    try {
        return listen_address(address).port() > 0;
    } catch (const std::system_error &) {
        return false;
    }
}

} // namespace

// A heartbeat that lacks a member which the agent does not use, or has it with another type, comes from another writer, and must not count
// as one of the endpoint.
std::optional<endpoint_announcement> decodeHeartbeat(std::string_view id, std::string_view text, std::string_view *fault)
{
    const auto parsed = parseJson(text);
    const json object = parsed.value_or(json());
    const json *capacityMember = findMember(object, "Capacity");
    const json capacity = capacityMember != nullptr ? *capacityMember : json();
    const auto service = readText(object, "Service");
    const auto address = readText(object, "Address");
    const auto zone = readText(object, "Zone");
    const auto state = readText(object, "State");
    const auto slots = readNumber(object, "Slots", Slots);
    const auto sequence = readNumber(object, "Sequence", Sequence);
    const auto cpu = readNumber(capacity, "Cpu", CpuMillis);
    const auto memory = readNumber(capacity, "MemMb", MemoryMb);
    const auto gpus = readOptionalNumber(capacity, "Gpu", Gpus);
    const auto born = readOptionalNumber(object, "born", StartMs);
    const auto remaining = readOptionalNumber(object, "RemainingMs", RemainingMs);
    const auto cold = readNumber(object, "ColdRemainingMs", RemainingMs);
    const std::array checks = {
        member_check{"id", isId(id)},
        member_check{"json", parsed.has_value()},
        member_check{"Service", service.has_value()},
        member_check{"Address", address && isCallable(*address)},
        member_check{"Zone", zone.has_value()},
        member_check{"State", state && (*state == "ready" || *state == "draining")},
        member_check{"Slots", slots.has_value()},
        member_check{"Sequence", sequence.has_value()},
        member_check{"Capacity", cpu && memory && gpus},
        member_check{"born", born.has_value()},
        member_check{"RemainingMs", remaining.has_value()},
        member_check{"ColdRemainingMs", cold.has_value()},
        member_check{"Version", readText(object, "Version").has_value()},
        member_check{"ClockMs", readNumber(object, "ClockMs").has_value()},
        member_check{"Labels", hasLabels(object)},
    };
    if (findFault(checks, fault)) {
        return std::nullopt;
    }
    endpoint_announcement found;
    found.id = std::string(id);
    found.endpointStart = std::chrono::milliseconds(*born);
    found.service = *service;
    found.address = *address;
    found.failureDomain = *zone;
    found.slots = static_cast<std::uint32_t>(*slots);
    found.capacity
        = {.cpuMillis = static_cast<std::uint32_t>(*cpu), .memoryMb = static_cast<std::uint32_t>(*memory), .gpus = static_cast<std::uint32_t>(*gpus)};
    found.isDraining = *state == "draining";
    if (found.isDraining && findMember(object, "RemainingMs") != nullptr) {
        found.remaining = std::chrono::milliseconds(*remaining);
    }
    found.coldRemaining = std::chrono::milliseconds(*cold);
    found.machineType = machineType(object);
    found.sequence = *sequence;
    return found;
}

} // namespace teaselward
