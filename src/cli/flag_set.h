#pragma once

#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

/** Flags of one subcommand among all flags of the binary. */
class flag_set
{
public:
    /**
     * Creates a set.
     * @param names names of the flags that the subcommand accepts; they must be defined with gflags
     */
    explicit flag_set(std::span<const std::string_view> names);

    /**
     * Sets the flags from arguments.
     * @param argc number of arguments
     * @param argv arguments; the first is the name of the subcommand
     * @return empty on success, otherwise the error message
     */
    std::string parse(int argc, char **argv);

    /** @return whether --help was among the arguments */
    bool wantsHelp() const;

    /** @return arguments that are not flags */
    const std::vector<std::string> &arguments() const;

    /**
     * Prints each flag with its default and its description.
     * @param out receives the text
     */
    void describe(std::ostream &out) const;

private:
    std::span<const std::string_view> m_names;
    std::vector<std::string> m_arguments;
    bool m_wantsHelp = false;
};

} // namespace teaselward
