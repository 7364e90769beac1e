#include "base/one_shot_timer.h"

#include "base/bounded_ring.h"
#include "base/duty_thread.h"

#include <utility>

namespace teaselward
{

namespace detail
{

class one_shot_timer_private
{
public:
    explicit one_shot_timer_private(std::function<void()> call)
        : fire(std::move(call))
    {
    }

    // Waits until the armed time or for a new one, whichever comes first.
    void run()
    {
        mono_time due = mono_time::max();
        while (true) {
            const auto changed = due == mono_time::max() ? updates.pop() : updates.popUntil(due);
            if (changed) {
                due = *changed;
            } else if (updates.isFinished()) {
                return;
            } else if (mono_clock::now() >= due) {
                due = mono_time::max();
                fire();
            }
        }
    }

    static constexpr std::size_t RingCapacity = 16;
    std::function<void()> fire;
    bounded_ring<mono_time> updates{RingCapacity};
    duty_thread thread{"timer", [this] {
                           run();
                       }};
};

} // namespace detail

one_shot_timer::one_shot_timer(std::function<void()> fire)
    : d(std::make_unique<detail::one_shot_timer_private>(std::move(fire)))
{
}

one_shot_timer::~one_shot_timer()
{
    stop();
}

bool one_shot_timer::arm(mono_time due)
{
    mono_time time = due;
    return d->updates.tryPush(std::move(time)); // NOLINT(performance-move-const-arg)
}

void one_shot_timer::stop()
{
    d->updates.close();
}

} // namespace teaselward
