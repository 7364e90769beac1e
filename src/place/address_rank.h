#pragma once

#include <cstdint>
#include <string_view>

namespace teaselward
{

/**
 * Computes a rank that orders endpoints in the same way at every entry, independent of their neighbourhood in the network.
 * @param address address of the endpoint
 * @return its rank
 */
std::uint64_t addressRank(std::string_view address);

} // namespace teaselward
