#include "http/bearer_token.h"

#include <absl/strings/match.h>
#include <absl/strings/string_view.h>
#include <sodium.h>

namespace teaselward
{

namespace
{

constexpr absl::string_view Scheme = "Bearer ";

} // namespace

bearer_token::bearer_token(std::string_view secret)
    : m_isSet(!secret.empty())
    , m_hash(hashOf(secret))
{
}

// Compares hashes, because comparing strings of different lengths would reveal the length of the secret.
bool bearer_token::allows(std::string_view authorization) const
{
    if (!m_isSet) {
        return true;
    }
    if (!absl::StartsWithIgnoreCase({authorization.data(), authorization.size()}, Scheme)) {
        return false;
    }
    const hash sent = hashOf(authorization.substr(Scheme.size()));
    return sodium_memcmp(sent.data(), m_hash.data(), m_hash.size()) == 0;
}

bearer_token::hash bearer_token::hashOf(std::string_view text)
{
    hash result{};
    crypto_generichash(result.data(), result.size(), reinterpret_cast<const unsigned char *>(text.data()), text.size(), nullptr, 0);
    return result;
}

} // namespace teaselward
