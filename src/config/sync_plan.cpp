#include "config/sync_plan.h"

#include <sodium.h>

#include <array>

namespace teaselward
{

std::string contentHash(const std::string &content)
{
    std::array<unsigned char, crypto_generichash_BYTES> hash{};
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char *>(content.data()), content.size(), nullptr, 0);
    std::array<char, crypto_generichash_BYTES * 2 + 1> text{};
    sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
    return text.data();
}

sync_action planSync(const std::string *local, const synced_file *synced, const config_file *remote)
{
    const bool isLocalSame = synced == nullptr ? local == nullptr : local != nullptr && contentHash(*local) == synced->hash;
    const bool isRemoteSame = synced == nullptr ? remote == nullptr : remote != nullptr && remote->version == synced->version;
    if (isLocalSame && isRemoteSame) {
        return sync_action::none;
    }
    const bool isEqual = local == nullptr ? remote == nullptr : remote != nullptr && *local == remote->content;
    if (isEqual) {
        return sync_action::recordVersion;
    }
    if (isRemoteSame) {
        return sync_action::publish;
    }
    return isLocalSame ? sync_action::fetch : sync_action::conflict;
}

} // namespace teaselward
