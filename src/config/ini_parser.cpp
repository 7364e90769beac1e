#include "config/ini_parser.h"

#include "config/config_name.h"
#include "config/text.h"

#include <algorithm>
#include <string>
#include <utility>

namespace teaselward
{

namespace
{

// Parses "[type name]". Returns an error message if the line is not a section header.
std::optional<std::string> readHeader(std::string_view line, ini_section &section)
{
    if (line.back() != ']') {
        return "the section header does not end with ']'";
    }
    const std::string_view words = trimmed(line.substr(1, line.size() - 2));
    const std::size_t space = words.find(' ');
    if (space == std::string_view::npos) {
        return "a section header must have the form [TYPE NAME]";
    }
    const std::string_view name = trimmed(words.substr(space));
    if (!isObjectName(name)) {
        return "the name must have 1 to 64 letters, digits, '_', '-' and '.'";
    }
    section.type = words.substr(0, space);
    section.name = name;
    return std::nullopt;
}

// Parses "key = value". Returns an error message if the line has another form.
std::optional<std::string> readEntry(std::string_view line, ini_entry &entry)
{
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos) {
        return "a line must have the form KEY = VALUE";
    }
    entry.key = trimmed(line.substr(0, equals));
    entry.value = trimmed(line.substr(equals + 1));
    return entry.key.empty() ? std::optional<std::string>("the key is missing") : std::nullopt;
}

bool hasSection(const std::vector<ini_section> &sections, const ini_section &wanted)
{
    return std::any_of(sections.begin(), sections.end(), [&wanted](const ini_section &section) {
        return section.type == wanted.type && section.name == wanted.name;
    });
}

bool hasKey(const ini_section &section, const std::string &key)
{
    return std::any_of(section.entries.begin(), section.entries.end(), [&key](const ini_entry &entry) {
        return entry.key == key;
    });
}

// Appends the section that a header line starts. Returns an error message, or nothing.
std::optional<std::string> addSection(std::string_view line, std::size_t number, std::vector<ini_section> &sections)
{
    ini_section section;
    section.line = number;
    if (auto why = readHeader(line, section)) {
        return why;
    }
    if (hasSection(sections, section)) {
        return "the section is repeated in this file";
    }
    sections.push_back(std::move(section));
    return std::nullopt;
}

// Adds a key to the last section. Returns an error message, or nothing; the entry has its key in both cases, for the message.
std::optional<std::string> addEntry(std::string_view line, ini_entry &entry, std::vector<ini_section> &sections)
{
    if (auto why = readEntry(line, entry)) {
        return why;
    }
    if (sections.empty()) {
        return "the key is outside of a section";
    }
    if (hasKey(sections.back(), entry.key)) {
        return "the key is repeated in this section";
    }
    sections.back().entries.push_back(entry);
    return std::nullopt;
}

} // namespace

std::optional<config_problem> parseIni(std::string_view file, std::string_view text, std::vector<ini_section> &sections)
{
    sections.clear();
    std::size_t number = 0;
    for (const std::string_view raw : split(text, '\n')) {
        ++number;
        const std::string_view line = trimmed(raw);
        if (line.empty() || line.front() == '#' || line.front() == ';') {
            continue;
        }
        if (line.front() == '[') {
            if (auto why = addSection(line, number, sections)) {
                return config_problem{.file = std::string(file), .line = number, .key = std::string(line), .why = std::move(*why)};
            }
            continue;
        }
        ini_entry entry;
        entry.line = number;
        if (auto why = addEntry(line, entry, sections)) {
            return config_problem{.file = std::string(file), .line = number, .key = entry.key, .why = std::move(*why)};
        }
    }
    return std::nullopt;
}

} // namespace teaselward
