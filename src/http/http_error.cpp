#include "http/http_error.h"

#include <array>
#include <string>

namespace teaselward
{

namespace
{

// Indexed by the value of the enumerator.
constexpr std::array<const char *, 6> Texts = {
    "no error",
    "the address is not IP:PORT",
    "the listener cannot be opened",
    "the operators' listener needs a token unless its address is a loopback address",
    "the secret of the tickets is missing",
    "the HTTP client cannot be set up",
};

class http_category : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "http";
    }

    std::string message(int value) const override
    {
        const auto index = static_cast<std::size_t>(value);
        return index < Texts.size() ? Texts[index] : "unknown error";
    }
};

} // namespace

const std::error_category &httpCategory()
{
    static const http_category category;
    return category;
}

std::error_code make_error_code(http_error value)
{
    return {static_cast<int>(value), httpCategory()};
}

} // namespace teaselward
