#include "rpc/list_codec.h"

#include "rpc/task_codec.h"
#include "rpc/text_codec.h"

namespace teaselward
{

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

} // namespace teaselward
