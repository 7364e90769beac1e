#include "platform/platform_error.h"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace teaselward
{

namespace
{

// Indexed by the value of the enumerator.
constexpr std::array<std::string_view, 7> Messages = {
    "no error",
    "the platform log is unavailable",
    "no complete response from the platform log",
    "the offset is below the retained range of the platform log",
    "the record or the response is too large",
    "the response of the platform log is malformed",
    "the platform log rejected the request",
};

class platform_category : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "platform";
    }

    std::string message(int value) const override
    {
        const auto index = static_cast<std::size_t>(value);
        return std::string(index < Messages.size() ? Messages[index] : "unknown error of the platform layer");
    }
};

} // namespace

const std::error_category &platformCategory()
{
    static const platform_category category;
    return category;
}

std::error_code make_error_code(platform_error error) // NOLINT(readability-identifier-naming)
{
    return {static_cast<int>(error), platformCategory()};
}

} // namespace teaselward
