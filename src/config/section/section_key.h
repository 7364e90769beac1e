#pragma once

#include "config/section/key_setter.h"

#include <algorithm>
#include <span>
#include <string_view>

namespace teaselward
{

/** Entry in the table of keys of a section type. */
template<typename Section>
struct section_key {
    std::string_view name;
    key_setter<Section> set;
};

/**
 * Sets a key of a section.
 * @param table keys of the section type
 * @param key name of the key
 * @param value text of the value
 * @param section the section; unchanged after an error
 * @return nothing, or an error message if the key or its value is invalid
 */
template<typename Section>
key_result setKey(std::span<const section_key<Section>> table, std::string_view key, std::string_view value, Section &section)
{
    const auto found = std::find_if(table.begin(), table.end(), [key](const section_key<Section> &entry) {
        return entry.name == key;
    });
    return found == table.end() ? key_result("unknown key") : found->set(value, section);
}

} // namespace teaselward
