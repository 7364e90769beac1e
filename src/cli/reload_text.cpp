#include "cli/reload_text.h"

#include <absl/strings/str_cat.h>

namespace teaselward
{

std::string reloadText(const std::vector<settings_error> &errors)
{
    if (errors.empty()) {
        return "The settings file is valid; it takes effect at the next start.";
    }
    const settings_error &first = errors.front();
    return absl::StrCat(
        "The settings file is not valid; the current settings stay in effect. errors=", errors.size(), " line=", first.line, " key=", first.key);
}

} // namespace teaselward
