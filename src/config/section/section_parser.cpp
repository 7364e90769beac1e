#include "config/section/section_parser.h"

#include "config/section/kind_keys.h"
#include "config/section/peak_keys.h"
#include "config/section/service_keys.h"
#include "config/section/team_keys.h"
#include "config/section/zone_keys.h"

#include <array>
#include <string>

namespace teaselward
{

namespace
{

template<auto Sections>
void openSection(config_model &model, std::string_view name)
{
    (model.*Sections).try_emplace(std::string(name));
}

template<auto Sections, auto SetKey>
key_result setSectionKey(config_model &model, std::string_view name, std::string_view key, std::string_view value)
{
    return SetKey(key, value, (model.*Sections).find(name)->second);
}

template<auto Sections, auto SetKey>
constexpr section_parser parserOf(std::string_view type)
{
    return {.type = type, .open = &openSection<Sections>, .setKey = &setSectionKey<Sections, SetKey>};
}

constexpr std::array Table = {
    parserOf<&config_model::services, &setServiceKey>("service"),
    parserOf<&config_model::kinds, &setKindKey>("kind"),
    parserOf<&config_model::teams, &setTeamKey>("team"),
    parserOf<&config_model::zones, &setZoneKey>("zone"),
    parserOf<&config_model::peaks, &setPeakKey>("peak"),
};

} // namespace

std::span<const section_parser> sectionParsers()
{
    return Table;
}

} // namespace teaselward
