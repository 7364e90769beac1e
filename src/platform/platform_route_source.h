#pragma once

#include "config/route_source.h"
#include "log/logger.h"
#include "platform/evacuation_records.h"
#include "platform/http_platform_log.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace teaselward
{

/** Reads the routes and the evacuations that the operators publish in the platform's log store. */
class platform_route_source : public route_source
{
public:
    /**
     * Creates a reader.
     * @param store client of the store; it must outlive the reader
     * @param process number of this process, which selects where it stores copies
     * @param log logger; it must outlive the reader
     */
    platform_route_source(http_platform_log &store, std::uint64_t process, logger &log);

    std::error_code newest(route_config &found, evacuation_state &evacuations, std::uint64_t &next) override;
    std::error_code wait(std::uint64_t &next, std::chrono::milliseconds wait, route_config &found, evacuation_state &evacuations) override;
    std::error_code storeCopy(const std::string &text) override;
    std::error_code storeCopy(const evacuation_state &evacuations) override;
    std::error_code newestCopy(route_config &found, evacuation_state &evacuations) override;
    std::error_code decode(const std::string &text, route_config &found) const override;

private:
    std::error_code storeCopy(std::string_view key, const std::string &text);
    void applyCopy(const keyed_record &record, evacuation_state &found) const;
    void applyRecord(const keyed_record &record, route_config &found) const;

    http_platform_log &m_store;
    std::uint64_t m_process;
    bool m_hasRead = false; ///< Set once the first reads have ended, successful or not.
    bool m_hasReadCopies = false;
    logger &m_log;
    evacuation_records m_evacuations;
};

} // namespace teaselward
