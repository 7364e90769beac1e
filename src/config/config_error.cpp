#include "config/config_error.h"

#include "platform/platform_error.h"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

namespace teaselward
{

namespace
{

// Indexed by the value of the enumerator. A message that callers may see begins with the text of its reason (core/reason_text.h).
constexpr std::array<std::string_view, 8> Messages = {
    "no error",
    "log_unavailable: the platform log does not answer",
    "the platform log rejects the request; check its address and the stream",
    "the record exceeds the size limit of the platform log",
    "outcome_unknown: the change may have been published but could not be read back",
    "conflict: the file has another version",
    "invalid: the file is not valid",
    "there is no such file",
};

class config_category : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "config";
    }

    std::string message(int value) const override
    {
        const auto index = static_cast<std::size_t>(value);
        return std::string(index < Messages.size() ? Messages[index] : "unknown error of the configuration layer");
    }
};

} // namespace

const std::error_category &configCategory()
{
    static const config_category category;
    return category;
}

std::error_code make_error_code(config_error error) // NOLINT(readability-identifier-naming)
{
    return {static_cast<int>(error), configCategory()};
}

std::error_code configErrorFromPlatform(std::error_code error)
{
    if (!error) {
        return {};
    }
    if (error == platform_error::rejected) {
        return config_error::logRejected;
    }
    return error == platform_error::tooLarge ? config_error::recordTooLarge : config_error::logUnavailable;
}

} // namespace teaselward
