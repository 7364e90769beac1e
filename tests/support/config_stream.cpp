#include "support/config_stream.h"

#include "config/record_codec.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <utility>

namespace teaselward
{

std::uint64_t appendChange(platform_log &log, const std::string &file, std::optional<std::string> content, std::uint64_t base, std::string id)
{
    static std::atomic<int> count = 0;
    if (id.empty()) {
        id = "test-" + std::to_string(++count);
    }
    std::uint64_t offset = 0;
    const change_record change{.file = file, .content = std::move(content), .baseVersion = base, .appendId = std::move(id), .author = "test"};
    BOOST_REQUIRE(!log.append(TestStream, encodeRecord(change), std::chrono::milliseconds(500), offset));
    return offset;
}

} // namespace teaselward
