#include "job/request_digest.h"

#include <sodium/crypto_generichash.h>

#include <string_view>

namespace teaselward
{

namespace
{

// Adds the length before the text, so that different splits of the same bytes give different digests.
void addText(crypto_generichash_state &state, std::string_view text)
{
    const std::uint64_t size = text.size();
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(&size), sizeof(size));
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char *>(text.data()), text.size());
}

} // namespace

request_digest digestOf(const job_request &job)
{
    request_digest digest{};
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, sizeof(digest));
    addText(state, job.team);
    addText(state, job.kind);
    for (const std::string &payload : job.payloads) {
        addText(state, payload);
    }
    crypto_generichash_final(&state, reinterpret_cast<unsigned char *>(digest.data()), sizeof(digest));
    return digest;
}

} // namespace teaselward
