#include "place/credit_policies.h"

#include "place/equal_credit_policy.h"
#include "place/scarce_credit_policy.h"
#include "place/shared_credit_policy.h"

#include <array>
#include <stdexcept>
#include <string>

namespace teaselward
{

namespace
{

/** Entry of the table of policies. */
struct policy_entry {
    std::string_view name;
    std::unique_ptr<credit_policy> (*make)();
};

template<typename T>
std::unique_ptr<credit_policy> make()
{
    return std::make_unique<T>();
}

constexpr std::array Table = {
    policy_entry{"shared", &make<shared_credit_policy>},
    policy_entry{"scarce", &make<scarce_credit_policy>},
    policy_entry{"equal", &make<equal_credit_policy>},
};

} // namespace

std::unique_ptr<credit_policy> makeCreditPolicy(std::string_view name)
{
    for (const policy_entry &entry : Table) {
        if (entry.name == name) {
            return entry.make();
        }
    }
    throw std::out_of_range("no such credit policy: " + std::string(name));
}

} // namespace teaselward
