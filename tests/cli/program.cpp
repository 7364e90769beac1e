#include "cli/program.h"

#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <stdexcept>

namespace teaselward
{

program_result runProgram(const std::string &arguments)
{
    const std::string command = std::string(TEASELWARD_BINARY) + " " + arguments + " 2>&1";
    FILE *pipe = ::popen(command.c_str(), "r"); // NOLINT(cert-env33-c): the arguments come from the tests.
    if (pipe == nullptr) {
        throw std::runtime_error("popen");
    }
    program_result result;
    std::array<char, 4096> bytes{};
    while (const std::size_t size = std::fread(bytes.data(), 1, bytes.size(), pipe)) {
        result.output.append(bytes.data(), size);
    }
    const int status = ::pclose(pipe);
    result.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

} // namespace teaselward
