#include "job/ticket_issuer.h"

namespace teaselward
{

ticket_issuer::ticket_issuer(const entry_info &self, std::chrono::milliseconds lifetime, mono_time start)
    : m_self(self)
    , m_lifetime(lifetime)
    , m_start(start)
{
}

std::vector<ticket> ticket_issuer::issue(std::uint32_t count, mono_time now)
{
    const auto issuedAt = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_start);
    std::vector<ticket> tickets;
    tickets.reserve(count);
    for (std::uint32_t i = 0; i < count; ++i) {
        tickets.push_back({.home = m_self.address, .id = {.incarnation = m_self.id.value, .sequence = m_nextSequence++}, .issuedAt = issuedAt});
    }
    return tickets;
}

bool ticket_issuer::isHome(const ticket &source) const
{
    return source.id.incarnation == m_self.id.value;
}

reason ticket_issuer::check(const ticket &source, mono_time now) const
{
    const auto age = (now - m_start) - source.issuedAt;
    if (source.id.sequence == 0 || source.id.sequence >= m_nextSequence || source.issuedAt.count() < 0 || age.count() < 0) {
        return reason::badTicket;
    }
    return age >= m_lifetime ? reason::ticketExpired : reason::none;
}

} // namespace teaselward
