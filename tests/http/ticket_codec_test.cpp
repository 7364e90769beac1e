#include "http/ticket_codec.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <system_error>

using namespace teaselward;

namespace
{

const ticket Sample{"10.1.2.3:7001", {0x0123456789abcdefU, 42}, std::chrono::milliseconds(987654321)};

} // namespace

BOOST_AUTO_TEST_SUITE(ticket_codec_test)

// Guards against a ticket field that is lost or truncated by encoding and decoding.
BOOST_AUTO_TEST_CASE(returnsTheTicketThatWasEncoded)
{
    const ticket_codec codec("secret");
    const auto decoded = codec.decode(codec.encode(Sample));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == Sample));
}

// Guards against a caller that changes the sequence or the home of a ticket and so starts or cancels another caller's job.
BOOST_AUTO_TEST_CASE(refusesEveryTextThatDiffersInOneCharacter)
{
    const ticket_codec codec("secret");
    const std::string text = codec.encode(Sample);
    for (std::size_t i = 0; i < text.size(); ++i) {
        for (const char replacement : {'A', 'B', '-', '_', '9', '=', ' ', '\0', '\xff'}) {
            std::string altered = text;
            altered[i] = replacement;
            if (altered != text) {
                BOOST_TEST(!codec.decode(altered).has_value(), "altered at " << i);
            }
        }
    }
}

// Guards against truncated or extended tickets that are accepted.
BOOST_AUTO_TEST_CASE(refusesTruncatedAndExtendedTexts)
{
    const ticket_codec codec("secret");
    const std::string text = codec.encode(Sample);
    for (std::size_t size = 0; size < text.size(); ++size) {
        BOOST_TEST(!codec.decode(text.substr(0, size)).has_value(), "truncated to " << size);
    }
    BOOST_TEST(!codec.decode(text + "A").has_value());
    BOOST_TEST(!codec.decode(text + "AAAA").has_value());
    BOOST_TEST(!codec.decode(text + std::string(100000, 'A')).has_value());
}

// Guards against tickets of another installation, which has another secret.
BOOST_AUTO_TEST_CASE(refusesTicketsOfAnotherSecret)
{
    BOOST_TEST(!ticket_codec("secret").decode(ticket_codec("Secret").encode(Sample)).has_value());
}

// Guards against an entry that starts without a secret and so accepts forged tickets.
BOOST_AUTO_TEST_CASE(refusesAnEmptySecret)
{
    BOOST_CHECK_THROW(ticket_codec(""), std::system_error);
}

BOOST_AUTO_TEST_SUITE_END()
