#include "core/route_table.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

route_table::route_table(route_config config)
    : m_config(std::move(config))
{
    for (std::size_t i = 0; i < m_config.routes.size(); ++i) {
        m_byHost[m_config.routes[i].host].push_back(i);
    }
    for (auto &[host, positions] : m_byHost) {
        std::ranges::stable_sort(positions, [this](std::size_t a, std::size_t b) {
            return m_config.routes[a].pathPrefix.size() > m_config.routes[b].pathPrefix.size();
        });
    }
}

const route *route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(host.substr(0, host.find(':')));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    for (const std::size_t position : found->second) {
        if (path.starts_with(m_config.routes[position].pathPrefix)) {
            return &m_config.routes[position];
        }
    }
    return nullptr;
}

std::uint64_t route_table::version() const
{
    return m_config.version;
}

} // namespace teaselward
