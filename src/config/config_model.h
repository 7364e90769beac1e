#pragma once

#include "config/section/kind_section.h"
#include "config/section/peak_section.h"
#include "config/section/service_section.h"
#include "config/section/team_section.h"
#include "config/section/zone_section.h"

#include <functional>
#include <map>
#include <string>

namespace teaselward
{

/** Merged sections of all configuration files, by name. */
struct config_model {
    std::map<std::string, service_section, std::less<>> services;
    std::map<std::string, kind_section, std::less<>> kinds;
    std::map<std::string, team_section, std::less<>> teams;
    std::map<std::string, zone_section, std::less<>> zones;
    std::map<std::string, peak_section, std::less<>> peaks; ///< Where peaks overlap, the one with the later name takes precedence.
};

} // namespace teaselward
