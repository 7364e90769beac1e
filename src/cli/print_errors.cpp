#include "cli/print_errors.h"

#include <iostream>

namespace teaselward
{

void printErrors(const std::vector<settings_error> &errors)
{
    for (const settings_error &error : errors) {
        std::cerr << error.file << ':';
        if (error.line > 0) {
            std::cerr << error.line << ':';
        }
        std::cerr << ' ' << error.key << (error.key.empty() ? "" : ": ") << error.text << '\n';
    }
}

} // namespace teaselward
