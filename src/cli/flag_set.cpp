#include "cli/flag_set.h"

#include <gflags/gflags.h>

#include <algorithm>

namespace teaselward
{

flag_set::flag_set(std::span<const std::string_view> names)
    : m_names(names)
{
}

// Does not use the parser of gflags, which would accept the flags of every subcommand and exit with its own status on an error.
std::string flag_set::parse(int argc, char **argv)
{
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument = argv[i];
        if (argument == "--") {
            m_arguments.insert(m_arguments.end(), argv + i + 1, argv + argc);
            break;
        }
        if (argument == "--help") {
            m_wantsHelp = true;
            continue;
        }
        if (!argument.starts_with("--")) {
            m_arguments.emplace_back(argument);
            continue;
        }
        const auto equal = argument.find('=');
        const std::string name(argument.substr(2, equal == std::string_view::npos ? equal : equal - 2));
        if (std::find(m_names.begin(), m_names.end(), name) == m_names.end()) {
            return "unknown option --" + name;
        }
        if (equal == std::string_view::npos && i + 1 == argc) {
            return "option --" + name + " needs a value";
        }
        const std::string value = equal == std::string_view::npos ? argv[++i] : std::string(argument.substr(equal + 1));
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty()) {
            return std::string("option --").append(name).append(" has the bad value '").append(value).append("'");
        }
    }
    return {};
}

bool flag_set::wantsHelp() const
{
    return m_wantsHelp;
}

const std::vector<std::string> &flag_set::arguments() const
{
    return m_arguments;
}

void flag_set::describe(std::ostream &out) const
{
    for (const std::string_view name : m_names) {
        const gflags::CommandLineFlagInfo info = gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
        out << "  --" << info.name << "=" << (info.default_value.empty() ? "''" : info.default_value) << "\n      " << info.description << '\n';
    }
}

} // namespace teaselward
