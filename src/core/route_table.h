#pragma once

#include "core/route_config.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

/** Routes of one version, looked up by host and longest path prefix. Immutable, so that threads can share it. */
class route_table
{
public:
    /**
     * Indexes the routes.
     * @param config the routes
     */
    explicit route_table(route_config config);

    /**
     * Finds the route of a request.
     * @param host value of the Host header; a port in it is ignored
     * @param path path of the request
     * @return the route, or null
     */
    const route *find(std::string_view host, std::string_view path) const;

    /** @return version of the routes */
    std::uint64_t version() const;

private:
    route_config m_config;
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost; ///< Indices of the routes of a host, longest prefix first.
};

} // namespace teaselward
