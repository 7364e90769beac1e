#pragma once

#include <cstddef>

namespace teaselward
{

inline constexpr std::size_t FileSizeLimit = std::size_t{64} << 10; ///< Bytes in one configuration file.

/** Bytes in all configuration files together, so that a snapshot in JSON fits into one record of the log (3 MiB). */
inline constexpr std::size_t TotalSizeLimit = std::size_t{1} << 20;

inline constexpr std::size_t FileCountLimit = 2000; ///< Number of configuration files.
inline constexpr std::size_t AuthorLimit = 64; ///< Bytes in the name of an author.
inline constexpr std::size_t AppendIdLimit = 64; ///< Bytes in an append id.

/** Append ids that a reader remembers. At 4,700 changes a day they cover the last 5 hours; retries come within a minute. */
inline constexpr std::size_t RecentIdLimit = 1024;

} // namespace teaselward
