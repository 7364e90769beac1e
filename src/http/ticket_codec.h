#pragma once

#include "core/ticket.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace teaselward
{

namespace detail
{
class ticket_codec_private;
}

/**
 * Encodes tickets as strings that only the entries can create: base64url of version, incarnation, sequence, issue time and home,
 * followed by a MAC (keyed BLAKE2b) over all of them. Any thread may use it.
 */
class ticket_codec
{
public:
    /**
     * Derives the key of the MAC.
     * @param secret secret shared by the entries
     * @throws std::system_error with http_error::ticketKeyMissing if the secret is empty
     */
    explicit ticket_codec(std::string_view secret);
    ~ticket_codec();

    ticket_codec(const ticket_codec &) = delete;
    ticket_codec &operator=(const ticket_codec &) = delete;

    /**
     * Encodes a ticket.
     * @param value the ticket
     * @return string of letters, digits, '-' and '_'
     */
    std::string encode(const ticket &value) const;

    /**
     * Decodes a string and checks its MAC in constant time.
     * @param text the string
     * @return the ticket, or std::nullopt if the string was not created with the same secret
     */
    std::optional<ticket> decode(std::string_view text) const;

private:
    std::unique_ptr<detail::ticket_codec_private> d;
};

} // namespace teaselward
