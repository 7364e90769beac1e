#include "proc/shared_config.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

void shared_config::setLocalCopy(local_copy_function own)
{
    absl::MutexLock lock(&m_mutex);
    m_localCopy = std::move(own);
}

std::optional<config_copy> shared_config::localCopy() const
{
    absl::MutexLock lock(&m_mutex);
    return m_localCopy ? m_localCopy() : std::nullopt;
}

std::uint64_t shared_config::offset() const
{
    const auto own = localCopy();
    return own ? own->offset : 0;
}

config_snapshot shared_config::copy() const
{
    auto own = localCopy();
    return own ? config_snapshot{own->offset, std::move(own->text)} : config_snapshot{};
}

// Only a copy newer than both the local and the received one is worth its transfer.
bool shared_config::isNewer(std::uint64_t offset) const
{
    const std::uint64_t own = this->offset();
    absl::MutexLock lock(&m_mutex);
    return offset > std::max(own, m_received ? m_received->offset : 0);
}

void shared_config::receive(config_snapshot snapshot)
{
    absl::MutexLock lock(&m_mutex);
    if (!m_received || snapshot.offset > m_received->offset) {
        m_received = config_copy{snapshot.offset, std::move(snapshot.text)};
    }
}

std::optional<config_copy> shared_config::newest(std::uint64_t above)
{
    absl::MutexLock lock(&m_mutex);
    return m_received && m_received->offset > above ? m_received : std::nullopt;
}

} // namespace teaselward
