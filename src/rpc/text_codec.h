#pragma once

#include <algorithm>
#include <capnp/blob.h>
#include <chrono>
#include <cstdint>
#include <kj/debug.h>
#include <string>

namespace teaselward
{

/**
 * Returns a view of a text as the type of the Cap'n Proto library.
 * @param value the text; it must outlive the view
 */
inline kj::StringPtr toWireText(const std::string &value)
{
    return {value.c_str(), value.size()};
}

/**
 * Returns a view of bytes as the type of the Cap'n Proto library.
 * @param value the bytes; they must outlive the view
 */
inline capnp::Data::Reader toWireData(const std::string &value)
{
    return {reinterpret_cast<const kj::byte *>(value.data()), value.size()};
}

/** @return copy of a text in a message */
inline std::string fromWireText(capnp::Text::Reader value)
{
    return {value.begin(), value.size()};
}

/** @return copy of a byte string in a message */
inline std::string fromWireData(capnp::Data::Reader value)
{
    return {reinterpret_cast<const char *>(value.begin()), value.size()};
}

/**
 * Converts a number in a message to an enumerator.
 * @param value the number
 * @param last greatest enumerator
 * @throws kj::Exception if the number is not the value of an enumerator; only the call that carried it fails
 */
template<typename E>
E fromWireEnum(std::uint8_t value, E last)
{
    KJ_REQUIRE(value <= static_cast<std::uint8_t>(last), "unknown enumerator", value);
    return static_cast<E>(value);
}

/**
 * Converts a count in a message to a duration.
 * @tparam D type of the duration
 * @param count the count in the unit of the type
 * @return the duration, clamped to at most a year, so that adding it to a time point cannot overflow whatever a peer sends
 */
template<typename D>
D fromWireDuration(std::int64_t count)
{
    constexpr D longest = std::chrono::hours(24 * 365);
    return std::clamp(D(count), D::zero(), longest);
}

} // namespace teaselward
