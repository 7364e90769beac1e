#include "config/config_merge.h"

#include "config/config_limits.h"
#include "config/config_name.h"
#include "config/ini_parser.h"
#include "config/section/section_parser.h"
#include "config/text.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace teaselward
{

namespace
{

// Error message for an unknown type, with the known ones.
std::string unknownTypeMessage()
{
    std::string text = "unknown section type; known types are";
    for (const section_parser &parser : sectionParsers()) {
        text += ' ' + std::string(parser.type);
    }
    return text;
}

std::optional<config_problem> mergeSection(std::string_view file, const ini_section &section, config_model &model)
{
    const auto parsers = sectionParsers();
    const auto parser = std::find_if(parsers.begin(), parsers.end(), [&section](const section_parser &entry) {
        return entry.type == section.type;
    });
    if (parser == parsers.end()) {
        return config_problem{
            .file = std::string(file),
            .line = section.line,
            .key = '[' + section.type + ' ' + section.name + ']',
            .why = unknownTypeMessage(),
        };
    }
    parser->open(model, section.name);
    for (const ini_entry &entry : section.entries) {
        if (auto why = parser->setKey(model, section.name, entry.key, entry.value)) {
            return config_problem{.file = std::string(file), .line = entry.line, .key = entry.key, .why = std::move(*why)};
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<config_problem> mergeFile(std::string_view name, std::string_view content, config_model &model)
{
    std::vector<ini_section> sections;
    if (auto problem = parseIni(name, content, sections)) {
        return problem;
    }
    for (const ini_section &section : sections) {
        if (auto problem = mergeSection(name, section, model)) {
            return problem;
        }
    }
    return std::nullopt;
}

std::optional<config_problem> checkFile(std::string_view name, std::string_view content)
{
    if (!isFileName(name)) {
        return config_problem{.file = std::string(name),
                              .line = 0,
                              .key = {},
                              .why = "a file name must have 1 to 128 letters, digits, '_', '-' and '.', and must start with a letter, digit or '_'"};
    }
    if (content.size() > FileSizeLimit) {
        return config_problem{.file = std::string(name), .line = 0, .key = {}, .why = "the file has more than " + std::to_string(FileSizeLimit) + " bytes"};
    }
    if (!isPlainText(content)) {
        return config_problem{.file = std::string(name), .line = 0, .key = {}, .why = "the file is not UTF-8 text or contains control characters"};
    }
    config_model scratch;
    return mergeFile(name, content, scratch);
}

config_model mergeFiles(const config_files &files)
{
    config_model model;
    for (const auto &[name, file] : files) {
        // A snapshot may contain a file that a newer release accepted and this one rejects; such a file is skipped as a whole.
        if (!checkFile(name, file.content)) {
            mergeFile(name, file.content, model);
        }
    }
    return model;
}

} // namespace teaselward
