#include "config/section/team_keys.h"

#include "config/section/section_key.h"
#include "config/section/section_limits.h"

#include <array>

namespace teaselward
{

namespace
{

constexpr std::array Keys = {
    section_key<team_section>{"weight", &setDecimal<&team_section::weight, WeightRange>},
    section_key<team_section>{"quota", &setInteger<&team_section::quota, 0, QuotaMax>},
};

} // namespace

key_result setTeamKey(std::string_view key, std::string_view value, team_section &section)
{
    return setKey<team_section>(Keys, key, value, section);
}

} // namespace teaselward
