#include "place/address_rank.h"

namespace teaselward
{

// FNV-1a with a final mix, which gives the same order in every process; addresses differ only in their last digits.
std::uint64_t addressRank(std::string_view address)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : address) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    }
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

} // namespace teaselward
