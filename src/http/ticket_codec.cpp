#include "http/ticket_codec.h"

#include "http/http_error.h"

#include <sodium.h>

#include <array>
#include <cstdint>
#include <system_error>
#include <vector>

namespace teaselward
{

namespace
{

// First byte of every ticket. It identifies the layout; tickets of another version are rejected.
constexpr unsigned char Version = 1;

constexpr std::size_t NumberSize = sizeof(std::uint64_t);
constexpr std::size_t HeaderSize = 1 + 3 * NumberSize; // Version, incarnation, sequence and issue time.
constexpr std::size_t MacSize = crypto_generichash_BYTES_MIN; // 128 bits
constexpr std::size_t KeySize = crypto_generichash_KEYBYTES;

// Maximum characters of a string that is decoded; longer ones are no tickets. The home address as IP:PORT has at most 47
// characters, so that a ticket has at most 88 bytes, which are 118 characters in base64url.
constexpr std::size_t MaxTextLength = 256;

// Hashed before the secret, so that other keys derived from the same secret differ from the ticket key.
constexpr std::string_view KeyContext = "teaselward ticket key 1";

constexpr unsigned ByteBits = 8;

// Appends a number in network byte order (big-endian), so that tickets are the same on all machines.
void appendNumber(std::vector<unsigned char> &bytes, std::uint64_t value)
{
    for (std::size_t i = NumberSize; i-- > 0;) {
        bytes.push_back(static_cast<unsigned char>(value >> (i * ByteBits)));
    }
}

// Reads a number that appendNumber() wrote.
std::uint64_t readNumber(const unsigned char *bytes)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < NumberSize; ++i) {
        value = value << ByteBits | bytes[i];
    }
    return value;
}

} // namespace

namespace detail
{

class ticket_codec_private
{
public:
    std::array<unsigned char, MacSize> macOf(const unsigned char *bytes, std::size_t size) const
    {
        std::array<unsigned char, MacSize> mac{};
        crypto_generichash(mac.data(), mac.size(), bytes, size, key.data(), key.size());
        return mac;
    }

    std::array<unsigned char, KeySize> key{};
};

} // namespace detail

ticket_codec::ticket_codec(std::string_view secret)
    : d(std::make_unique<detail::ticket_codec_private>())
{
    if (secret.empty() || sodium_init() < 0) {
        throw std::system_error(http_error::ticketKeyMissing);
    }
    // The key is a hash, because the secret may be longer than a key. The context has a fixed length, so that the boundary to the
    // secret is unambiguous.
    std::string input(KeyContext);
    input += secret;
    crypto_generichash(d->key.data(), d->key.size(), reinterpret_cast<const unsigned char *>(input.data()), input.size(), nullptr, 0);
    sodium_memzero(input.data(), input.size());
}

ticket_codec::~ticket_codec()
{
    sodium_memzero(d->key.data(), d->key.size());
}

std::string ticket_codec::encode(const ticket &value) const
{
    std::vector<unsigned char> bytes;
    bytes.reserve(HeaderSize + value.home.size() + MacSize);
    bytes.push_back(Version);
    appendNumber(bytes, value.id.incarnation);
    appendNumber(bytes, value.id.sequence);
    appendNumber(bytes, static_cast<std::uint64_t>(value.issuedAt.count()));
    bytes.insert(bytes.end(), value.home.begin(), value.home.end());
    const auto mac = d->macOf(bytes.data(), bytes.size());
    bytes.insert(bytes.end(), mac.begin(), mac.end());

    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING), '\0');
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), sodium_base64_VARIANT_URLSAFE_NO_PADDING);
    text.pop_back(); // libsodium writes a terminating null character.
    return text;
}

std::optional<ticket> ticket_codec::decode(std::string_view text) const
{
    if (text.size() > MaxTextLength) {
        return std::nullopt;
    }
    std::array<unsigned char, MaxTextLength> bytes{};
    std::size_t size = 0;
    if (sodium_base642bin(bytes.data(), bytes.size(), text.data(), text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_URLSAFE_NO_PADDING) != 0
        || size < HeaderSize + MacSize || bytes[0] != Version) {
        return std::nullopt;
    }
    const std::size_t authenticatedSize = size - MacSize;
    // The comparison takes constant time, since its duration would otherwise help to forge a MAC.
    if (sodium_memcmp(d->macOf(bytes.data(), authenticatedSize).data(), bytes.data() + authenticatedSize, MacSize) != 0) {
        return std::nullopt;
    }
    ticket value;
    value.id.incarnation = readNumber(bytes.data() + 1);
    value.id.sequence = readNumber(bytes.data() + 1 + NumberSize);
    value.issuedAt = std::chrono::milliseconds(readNumber(bytes.data() + 1 + 2 * NumberSize));
    value.home.assign(bytes.begin() + HeaderSize, bytes.begin() + static_cast<std::ptrdiff_t>(authenticatedSize));
    return value;
}

} // namespace teaselward
