#include "process/free_address.h"

#include <absl/strings/str_cat.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <set>
#include <stdexcept>

namespace teaselward::testing
{

namespace
{

// Asks the kernel for a free port. The kernel may return the same port again until a process binds it, so freeAddress() skips
// ports that it has returned before.
std::string allocateAddress()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    const bool isBound = ::bind(descriptor, generic, size) == 0 && ::getsockname(descriptor, generic, &size) == 0;
    ::close(descriptor);
    if (!isBound) {
        throw std::runtime_error("cannot bind a free port on 127.0.0.1");
    }
    return absl::StrCat("127.0.0.1:", ntohs(address.sin_port));
}

} // namespace

std::string freeAddress()
{
    static std::set<std::string> used;
    std::string address = allocateAddress();
    while (!used.insert(address).second) {
        address = allocateAddress();
    }
    return address;
}

} // namespace teaselward::testing
