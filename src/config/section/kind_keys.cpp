#include "config/section/kind_keys.h"

#include "config/section/section_key.h"
#include "config/section/section_limits.h"

#include <array>

namespace teaselward
{

namespace
{

constexpr std::array Keys = {
    section_key<kind_section>{"service", &setName<&kind_section::service>},
    section_key<kind_section>{"weight", &setDecimal<&kind_section::weight, WeightRange>},
    section_key<kind_section>{"floor", &setDecimal<&kind_section::floor, FloorRange>},
    section_key<kind_section>{"idempotent", &setFlag<&kind_section::idempotent>},
    section_key<kind_section>{"time_limit", &setDuration<&kind_section::timeLimit, TimeLimitMin, TimeLimitMax>},
    section_key<kind_section>{"queue_limit", &setInteger<&kind_section::queueLimit, 1, QueueLimitMax>},
    section_key<kind_section>{"task_limit", &setInteger<&kind_section::taskLimit, 1, TaskLimitMax>},
};

} // namespace

key_result setKindKey(std::string_view key, std::string_view value, kind_section &section)
{
    return setKey<kind_section>(Keys, key, value, section);
}

} // namespace teaselward
