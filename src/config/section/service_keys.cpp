#include "config/section/service_keys.h"

#include "config/section/section_key.h"
#include "config/section/section_limits.h"

#include <array>

namespace teaselward
{

namespace
{

constexpr std::size_t DescriptionLimit = 200;

key_result setDescription(std::string_view value, service_section &section)
{
    if (value.size() > DescriptionLimit) {
        return "must have at most " + std::to_string(DescriptionLimit) + " bytes";
    }
    section.description = value;
    return std::nullopt;
}

constexpr std::array Keys = {
    section_key<service_section>{"description", &setDescription},
    section_key<service_section>{"weight", &setDecimal<&service_section::weight, WeightRange>},
    section_key<service_section>{"idempotent", &setFlag<&service_section::idempotent>},
    section_key<service_section>{"time_limit", &setDuration<&service_section::timeLimit, TimeLimitMin, TimeLimitMax>},
    section_key<service_section>{"queue_limit", &setInteger<&service_section::queueLimit, 1, QueueLimitMax>},
    section_key<service_section>{"task_limit", &setInteger<&service_section::taskLimit, 1, TaskLimitMax>},
};

} // namespace

key_result setServiceKey(std::string_view key, std::string_view value, service_section &section)
{
    return setKey<service_section>(Keys, key, value, section);
}

} // namespace teaselward
