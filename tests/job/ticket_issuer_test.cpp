#include "job/ticket_issuer.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

const mono_time Start{1h};
const entry_info Self{.id = {5}, .address = "10.0.0.1:1", .failureDomain = "a"};

} // namespace

BOOST_AUTO_TEST_SUITE(ticket_issuer_test)

// Guards against tickets that lack their home entry or are not unique.
BOOST_AUTO_TEST_CASE(ticketsNameHomeIncarnationSequenceAndIssueTime)
{
    ticket_issuer book(Self, 10min, Start);
    const auto tickets = book.issue(3, Start + 1500us);
    BOOST_REQUIRE(tickets.size() == 3U);
    BOOST_TEST(tickets[0].home == "10.0.0.1:1");
    BOOST_TEST(tickets[0].id.incarnation == 5U);
    BOOST_TEST(tickets[0].issuedAt.count() == 1);
    BOOST_TEST(tickets[1].id.sequence == tickets[0].id.sequence + 1);
    BOOST_TEST(book.issue(1, Start).at(0).id.sequence == tickets[2].id.sequence + 1);
}

// Guards against accepting a ticket that was never issued or has an issue time in the future.
BOOST_AUTO_TEST_CASE(aTicketThatWasNeverIssuedIsBad)
{
    ticket_issuer book(Self, 10min, Start);
    ticket issued = book.issue(1, Start).at(0);
    BOOST_TEST((book.check(issued, Start) == reason::none));
    ticket later = issued;
    ++later.id.sequence;
    BOOST_TEST((book.check(later, Start) == reason::badTicket));
    ticket none = issued;
    none.id.sequence = 0;
    BOOST_TEST((book.check(none, Start) == reason::badTicket));
    ticket future = issued;
    future.issuedAt = 1s;
    BOOST_TEST((book.check(future, Start) == reason::badTicket));
}

// Guards against a ticket that can start a job after the records that detect resubmissions have expired.
BOOST_AUTO_TEST_CASE(aTicketExpiresAfterItsLifetime)
{
    ticket_issuer book(Self, 10min, Start);
    const ticket issued = book.issue(1, Start + 1min).at(0);
    BOOST_TEST((book.check(issued, Start + 11min - 1ms) == reason::none));
    BOOST_TEST((book.check(issued, Start + 11min) == reason::ticketExpired));
}

// Guards against a restarted entry that treats tickets of its previous incarnation as its own.
BOOST_AUTO_TEST_CASE(anotherIncarnationIsNotTheHome)
{
    ticket_issuer book(Self, 10min, Start);
    ticket issued = book.issue(1, Start).at(0);
    BOOST_TEST(book.isHome(issued));
    issued.id.incarnation = 6;
    BOOST_TEST(!book.isHome(issued));
}

BOOST_AUTO_TEST_SUITE_END()
