#pragma once

#include "config/config_model.h"
#include "config/section/key_setter.h"

#include <span>
#include <string_view>

namespace teaselward
{

/** Entry in the table of section types. */
struct section_parser {
    std::string_view type; ///< First word of the section header.

    /** Adds the section to the model unless it exists. */
    void (*open)(config_model &model, std::string_view name);

    /** Sets a key of a section that exists; returns nothing, or an error message if the key or its value is invalid. */
    key_result (*setKey)(config_model &model, std::string_view name, std::string_view key, std::string_view value);
};

/** @return the table of all section types */
std::span<const section_parser> sectionParsers();

} // namespace teaselward
