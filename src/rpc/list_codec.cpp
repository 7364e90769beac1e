#include "rpc/list_codec.h"

#include "rpc/rpc_limits.h"
#include "rpc/task_codec.h"
#include "rpc/text_codec.h"

#include <kj/debug.h>

namespace teaselward
{

namespace
{

crash_suspect decodeSuspect(wire::CrashSuspect::Reader in)
{
    KJ_REQUIRE(in.getKind().size() <= MaxKindBytes, "the name of a kind is too long");
    return {fromWireText(in.getKind()), in.getRepeated()};
}

} // namespace

void encodeTexts(const std::vector<std::string> &values, capnp::List<capnp::Text>::Builder out)
{
    unsigned index = 0;
    for (const std::string &value : values) {
        out.set(index, toWireText(value));
        ++index;
    }
}

std::vector<std::string> decodeTexts(capnp::List<capnp::Text>::Reader in)
{
    std::vector<std::string> values;
    values.reserve(in.size());
    for (const auto value : in) {
        values.push_back(fromWireText(value));
    }
    return values;
}

void encodeData(const std::vector<std::string> &values, capnp::List<capnp::Data>::Builder out)
{
    unsigned index = 0;
    for (const std::string &value : values) {
        out.set(index, toWireData(value));
        ++index;
    }
}

std::vector<std::string> decodeData(capnp::List<capnp::Data>::Reader in)
{
    std::vector<std::string> values;
    values.reserve(in.size());
    for (const auto value : in) {
        values.push_back(fromWireData(value));
    }
    return values;
}

void encodeUsage(const std::vector<team_usage> &values, capnp::List<wire::TeamUsage>::Builder out)
{
    unsigned index = 0;
    for (const team_usage &value : values) {
        out[index].setTeam(toWireText(value.team));
        out[index].setInProgress(value.inProgress);
        out[index].setWanted(value.wanted);
        ++index;
    }
}

std::vector<team_usage> decodeUsage(capnp::List<wire::TeamUsage>::Reader in)
{
    std::vector<team_usage> values;
    values.reserve(in.size());
    for (const auto value : in) {
        values.push_back({fromWireText(value.getTeam()), value.getInProgress(), value.getWanted()});
    }
    return values;
}

void encodeHeld(const std::vector<agent_task_status> &values, capnp::List<wire::HeldTask>::Builder out)
{
    unsigned index = 0;
    for (const agent_task_status &value : values) {
        encode(value, out[index]);
        ++index;
    }
}

std::vector<agent_task_status> decodeHeld(capnp::List<wire::HeldTask>::Reader in)
{
    std::vector<agent_task_status> values;
    values.reserve(in.size());
    for (const auto value : in) {
        values.push_back(decode(value));
    }
    return values;
}

void encodeSuspects(const std::vector<crash_suspect> &values, capnp::List<wire::CrashSuspect>::Builder out)
{
    unsigned index = 0;
    for (const crash_suspect &value : values) {
        out[index].setKind(toWireText(value.kind));
        out[index].setRepeated(value.isRepeated);
        ++index;
    }
}

std::vector<crash_suspect> decodeSuspects(capnp::List<wire::CrashSuspect>::Reader in)
{
    KJ_REQUIRE(in.size() <= MaxCrashSuspects, "too many suspects", in.size());
    std::vector<crash_suspect> values;
    values.reserve(in.size());
    for (const auto value : in) {
        values.push_back(decodeSuspect(value));
    }
    return values;
}

} // namespace teaselward
