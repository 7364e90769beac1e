#pragma once

#include <memory>
#include <string>

namespace teaselward
{

namespace detail
{
class local_endpoint_private;
}

/** HTTP endpoint of `teaselward local`, in the same process. It answers each task with its payload in upper case. */
class local_endpoint
{
public:
    /**
     * Opens the listener on the loopback interface and starts its thread.
     * @throws std::system_error if the listener cannot be opened
     */
    local_endpoint();
    ~local_endpoint();

    local_endpoint(const local_endpoint &) = delete;
    local_endpoint &operator=(const local_endpoint &) = delete;

    /** @return address as IP:PORT */
    std::string address() const;

private:
    std::unique_ptr<detail::local_endpoint_private> d;
};

} // namespace teaselward
