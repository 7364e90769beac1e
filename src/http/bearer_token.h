#pragma once

#include <array>
#include <string_view>

namespace teaselward
{

/** Checks the secret that operators send in the Authorization header. */
class bearer_token
{
public:
    /**
     * Stores a hash of the secret.
     * @param secret the secret; every request is allowed if it is empty
     */
    explicit bearer_token(std::string_view secret);

    /**
     * Checks a request in constant time.
     * @param authorization value of the Authorization header
     * @return whether the request is allowed
     */
    bool allows(std::string_view authorization) const;

private:
    static constexpr std::size_t HashSize = 32;
    using hash = std::array<unsigned char, HashSize>;

    static hash hashOf(std::string_view text);

    bool m_isSet;
    hash m_hash;
};

} // namespace teaselward
