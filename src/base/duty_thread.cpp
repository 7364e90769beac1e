#include "base/duty_thread.h"

#include <pthread.h>

#include <system_error>
#include <utility>

namespace teaselward
{

namespace detail
{

class duty_thread_private
{
public:
    std::function<void()> duty;
    pthread_t handle{};

    // Entry point with the signature that pthread_create() requires.
    static void *run(void *self)
    {
        static_cast<duty_thread_private *>(self)->duty();
        return nullptr;
    }
};

} // namespace detail

duty_thread::duty_thread(const std::string &name, std::function<void()> duty)
    : d(std::make_unique<detail::duty_thread_private>())
{
    d->duty = std::move(duty);
    const int result = pthread_create(&d->handle, nullptr, &detail::duty_thread_private::run, d.get());
    if (result != 0) {
        throw std::system_error(result, std::generic_category(), "pthread_create");
    }
    pthread_setname_np(d->handle, name.substr(0, 15).c_str());
}

duty_thread::~duty_thread()
{
    pthread_join(d->handle, nullptr);
}

} // namespace teaselward
