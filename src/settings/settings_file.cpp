#include "settings/settings_file.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/property_tree/ini_parser.hpp>

#include <sstream>
#include <utility>

namespace teaselward
{

namespace
{

struct key_entry {
    std::string value;
    std::size_t line = 0;
};

} // namespace

namespace detail
{

class settings_file_private
{
public:
    std::string name;
    std::optional<settings_error> syntax;
    std::vector<std::string> keys;
    absl::flat_hash_map<std::string, key_entry> entries;

    // Boost.PropertyTree keeps no line numbers, so a second pass over the text finds them.
    void findLines(const std::string &text)
    {
        std::string section;
        std::size_t line = 0;
        for (const absl::string_view raw : absl::StrSplit(text, '\n')) {
            ++line;
            const auto trimmed = absl::StripAsciiWhitespace(raw);
            if (trimmed.empty() || trimmed.front() == ';' || trimmed.front() == '#') {
                continue;
            }
            if (trimmed.front() == '[') {
                section = std::string(trimmed.substr(1, trimmed.find(']') - 1));
                continue;
            }
            const auto key = absl::StripAsciiWhitespace(trimmed.substr(0, trimmed.find('=')));
            const auto found = entries.find(absl::StrCat(section, ".", key));
            if (found != entries.end()) {
                found->second.line = line;
            }
        }
    }

    void parse(const std::string &text)
    {
        boost::property_tree::ptree tree;
        std::istringstream stream(text);
        try {
            boost::property_tree::read_ini(stream, tree);
        } catch (const boost::property_tree::ini_parser_error &error) {
            syntax = settings_error{name, error.line(), "", error.message()};
            return;
        }
        for (const auto &[section, content] : tree) {
            for (const auto &[key, value] : content) {
                const std::string path = absl::StrCat(section, ".", key);
                keys.push_back(path);
                entries[path].value = value.data();
            }
            if (content.empty() && !content.data().empty()) {
                syntax = settings_error{name, 0, section, "the key is outside of a section"};
            }
        }
        findLines(text);
    }
};

} // namespace detail

settings_file::settings_file(std::string name, const std::string &text)
    : d(std::make_unique<detail::settings_file_private>())
{
    d->name = std::move(name);
    d->parse(text);
}

settings_file::~settings_file() = default;

const std::optional<settings_error> &settings_file::syntaxError() const
{
    return d->syntax;
}

const std::vector<std::string> &settings_file::keys() const
{
    return d->keys;
}

std::optional<std::string> settings_file::value(std::string_view key) const
{
    const auto found = d->entries.find(std::string(key));
    if (found == d->entries.end()) {
        return std::nullopt;
    }
    return found->second.value;
}

settings_error settings_file::errorAt(std::string_view key, std::string text) const
{
    const auto found = d->entries.find(std::string(key));
    const std::size_t line = found == d->entries.end() ? 0 : found->second.line;
    return settings_error{d->name, line, std::string(key), std::move(text)};
}

} // namespace teaselward
