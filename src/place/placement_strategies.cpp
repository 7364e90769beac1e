#include "place/placement_strategies.h"

#include "place/credits_strategy.h"
#include "place/least_outstanding_strategy.h"
#include "place/random_strategy.h"
#include "place/speed_strategy.h"
#include "place/two_choices_strategy.h"

#include <array>
#include <stdexcept>
#include <string>

namespace teaselward
{

namespace
{

/** Entry of the table of strategies. */
struct strategy_entry {
    std::string_view name;
    std::unique_ptr<placement_strategy> (*make)();
};

template<typename T>
std::unique_ptr<placement_strategy> make()
{
    return std::make_unique<T>();
}

constexpr std::array Table = {
    strategy_entry{"random", &make<random_strategy>},
    strategy_entry{"two_choices", &make<two_choices_strategy>},
    strategy_entry{"least_outstanding", &make<least_outstanding_strategy>},
    strategy_entry{"credits", &make<credits_strategy>},
    strategy_entry{"speed", &make<speed_strategy>},
};

} // namespace

std::unique_ptr<placement_strategy> makePlacementStrategy(std::string_view name)
{
    for (const strategy_entry &entry : Table) {
        if (entry.name == name) {
            return entry.make();
        }
    }
    throw std::out_of_range("no such placement strategy: " + std::string(name));
}

std::vector<std::string_view> placementStrategyNames()
{
    std::vector<std::string_view> names;
    names.reserve(Table.size());
    for (const strategy_entry &entry : Table) {
        names.push_back(entry.name);
    }
    return names;
}

} // namespace teaselward
