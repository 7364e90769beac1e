#include "platform/evacuation_records.h"

#include "core/concat.h"
#include "core/evacuation_limits.h"
#include "platform/json_reader.h"

namespace teaselward
{

namespace
{

using nlohmann::json;

constexpr std::string_view KeyPrefix = "evacuate/";

bool isValidName(std::string_view domain)
{
    return !domain.empty() && domain.size() <= MaxDomainBytes;
}

} // namespace

evacuation_records::evacuation_records(logger &log)
    : m_log(log)
{
}

// Returns the failure domain that a key names; empty if the key belongs to another record or its name is not valid.
std::string_view evacuation_records::domainOf(std::string_view key) const
{
    if (!key.starts_with(KeyPrefix)) {
        return {};
    }
    const std::string_view domain = key.substr(KeyPrefix.size());
    if (!isValidName(domain)) {
        m_log.write(log_part::platform, concat("Ignored an evacuation whose failure domain has no valid name. bytes=", domain.size()));
        return {};
    }
    return domain;
}

void evacuation_records::add(std::string_view domain, evacuation_state &state) const
{
    if (state.failureDomains.size() >= MaxEvacuatedDomains && !state.failureDomains.contains(std::string(domain))) {
        m_log.write(log_part::platform, concat("Ignored an evacuation: too many failure domains. domain=", domain, " limit=", MaxEvacuatedDomains));
        return;
    }
    state.failureDomains.emplace(domain);
}

void evacuation_records::apply(std::string_view key, std::string_view value, evacuation_state &state) const
{
    const std::string_view domain = domainOf(key);
    if (domain.empty()) {
        return;
    }
    if (value.empty()) {
        state.failureDomains.erase(std::string(domain));
        return;
    }
    if (const auto object = parseJson(value); !object || !object->is_object()) {
        applyUnreadable(key, state);
        return;
    }
    add(domain, state);
}

void evacuation_records::applyUnreadable(std::string_view key, evacuation_state &state) const
{
    if (const std::string_view domain = domainOf(key); !domain.empty()) {
        m_log.write(log_part::platform, concat("The value of an evacuation is not readable; its key counts. domain=", domain));
        add(domain, state);
    }
}

// Names are arbitrary bytes, so those that are not valid UTF-8 are replaced; such a name matches no failure domain.
std::string evacuation_records::encodeCopy(const evacuation_state &state)
{
    return json{{"Offset", state.offset}, {"FailureDomains", state.failureDomains}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool evacuation_records::decodeCopy(const std::string &text, evacuation_state &state) const
{
    const auto object = parseJson(text);
    const auto offset = object ? readNumber(*object, "Offset") : std::nullopt;
    const json *domains = object ? findMember(*object, "FailureDomains") : nullptr;
    if (!offset || domains == nullptr || !domains->is_array()) {
        return false;
    }
    state = {.offset = *offset, .failureDomains = {}};
    for (const json &item : *domains) {
        if (item.is_string() && isValidName(item.get_ref<const std::string &>())) {
            add(item.get_ref<const std::string &>(), state);
        } else {
            m_log.write(log_part::platform, "Ignored a malformed name in a copy of the evacuations.");
        }
    }
    return true;
}

} // namespace teaselward
