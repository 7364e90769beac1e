#pragma once

#include "http/json_field.h"

#include <nlohmann/json.hpp>

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace teaselward
{

/**
 * Reads one flat JSON object into a struct. It stores the values while it parses the text and stops at the first value that
 * the table of fields does not allow, so that hostile input cannot make it build a large document.
 */
template<typename T>
class json_object_reader
{
public:
    using number_integer_t = nlohmann::json::number_integer_t;
    using number_unsigned_t = nlohmann::json::number_unsigned_t;
    using number_float_t = nlohmann::json::number_float_t;
    using string_t = nlohmann::json::string_t;
    using binary_t = nlohmann::json::binary_t;

    /**
     * Creates a reader.
     * @param fields fields that the object may have; no others are allowed
     * @param itemLimit maximum items of an array
     */
    json_object_reader(std::span<const json_field<T>> fields, std::size_t itemLimit)
        : m_fields(fields)
        , m_itemLimit(itemLimit)
        , m_seen(fields.size())
    {
    }

    /**
     * Parses a JSON text.
     * @param text the text
     * @param value receives the fields
     * @return empty string on success, otherwise an error message
     */
    std::string read(std::string_view text, T &value)
    {
        m_value = &value;
        if (!nlohmann::json::sax_parse(text, this)) {
            return m_error.empty() ? "the body is not JSON" : m_error;
        }
        for (std::size_t i = 0; i < m_fields.size(); ++i) {
            if (m_fields[i].required && !m_seen[i]) {
                return "the field '" + std::string(m_fields[i].name) + "' is missing";
            }
        }
        return {};
    }

    // The parser calls the functions below, and fixes their names.

    bool null()
    {
        return wrongType();
    }

    bool boolean(bool value)
    {
        const auto *member = memberOf<bool>();
        if (member == nullptr || m_inArray) {
            return wrongType();
        }
        m_value->*(*member) = value;
        return true;
    }

    bool number_integer(number_integer_t /*value*/) // NOLINT(readability-identifier-naming)
    {
        return wrongType();
    }

    bool number_unsigned(number_unsigned_t value) // NOLINT(readability-identifier-naming)
    {
        const auto *member = memberOf<std::uint64_t>();
        if (member == nullptr || m_inArray) {
            return wrongType();
        }
        m_value->*(*member) = value;
        return true;
    }

    bool number_float(number_float_t /*value*/, const string_t & /*text*/) // NOLINT(readability-identifier-naming)
    {
        return wrongType();
    }

    bool string(string_t &value)
    {
        if (m_inArray) {
            auto &items = m_value->*std::get<std::vector<std::string> T::*>(m_field->member);
            if (items.size() == m_itemLimit) {
                return fail("the field '" + std::string(m_field->name) + "' has more than " + std::to_string(m_itemLimit) + " items");
            }
            items.push_back(std::move(value));
            return true;
        }
        const auto *member = memberOf<std::string>();
        if (member == nullptr) {
            return wrongType();
        }
        m_value->*(*member) = std::move(value);
        return true;
    }

    bool binary(binary_t & /*value*/)
    {
        return wrongType();
    }

    bool start_object(std::size_t /*size*/) // NOLINT(readability-identifier-naming)
    {
        if (m_inObject) {
            return wrongType();
        }
        m_inObject = true;
        return true;
    }

    bool key(string_t &name)
    {
        for (std::size_t i = 0; i < m_fields.size(); ++i) {
            if (m_fields[i].name == name) {
                m_field = &m_fields[i];
                // Otherwise the second of two equal names would silently replace the first.
                return !m_seen[i] ? (m_seen[i] = true) : fail("a field occurs twice");
            }
        }
        return fail("a field is unknown");
    }

    bool end_object() // NOLINT(readability-identifier-naming)
    {
        return true;
    }

    bool start_array(std::size_t /*size*/) // NOLINT(readability-identifier-naming)
    {
        if (m_inArray || memberOf<std::vector<std::string>>() == nullptr) {
            return wrongType();
        }
        m_inArray = true;
        return true;
    }

    bool end_array() // NOLINT(readability-identifier-naming)
    {
        m_inArray = false;
        return true;
    }

    bool parse_error(std::size_t position, const std::string & /*token*/, const nlohmann::detail::exception & /*error*/) // NOLINT
    {
        return fail("the body is not JSON at byte " + std::to_string(position));
    }

private:
    template<typename V>
    V T::*const *memberOf() const
    {
        return m_field != nullptr ? std::get_if<V T::*>(&m_field->member) : nullptr;
    }

    bool wrongType()
    {
        return fail(m_field != nullptr ? "the field '" + std::string(m_field->name) + "' has the wrong type" : "the body is not an object");
    }

    bool fail(std::string text)
    {
        m_error = std::move(text);
        return false;
    }

    std::span<const json_field<T>> m_fields;
    std::size_t m_itemLimit;
    std::vector<bool> m_seen;
    const json_field<T> *m_field = nullptr;
    T *m_value = nullptr;
    std::string m_error;
    bool m_inObject = false;
    bool m_inArray = false;
};

} // namespace teaselward
