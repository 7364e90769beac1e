#pragma once

#include <cstdint>
#include <string>

namespace teaselward
{

/** Record of a stream of the platform log. */
struct log_record {
    std::uint64_t offset = 0; ///< Position in the stream; offsets increase and may have gaps.
    std::string body;
};

} // namespace teaselward
