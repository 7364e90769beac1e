#include "config/config_state.h"

#include "config/config_limits.h"
#include "config/config_merge.h"
#include "config/recent_ids.h"
#include "config/text.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

namespace detail
{

class config_state_private
{
public:
    config_files files;
    recent_ids ids;
    std::uint64_t offset = 0;
    std::size_t totalSize = 0; // Bytes of the contents of all files.

    std::optional<config_problem> check(const change_record &change) const;
    void set(std::uint64_t version, const change_record &change);
    std::uint64_t versionOf(const std::string &name) const;
};

// Checks the file on its own, and the limits of all files together, which bound the memory use of every reader.
std::optional<config_problem> config_state_private::check(const change_record &change) const
{
    const auto problem = [&change](std::string why) {
        return config_problem{.file = change.file, .line = 0, .key = {}, .why = std::move(why)};
    };
    if (!isPrintable(change.author) || change.author.size() > AuthorLimit) {
        return problem("the author must be printable ASCII of at most " + std::to_string(AuthorLimit) + " bytes");
    }
    if (!change.content) {
        return std::nullopt;
    }
    if (auto invalid = checkFile(change.file, *change.content)) {
        return invalid;
    }
    const auto found = files.find(change.file);
    const std::size_t replaced = found == files.end() ? 0 : found->second.content.size();
    if (totalSize - replaced + change.content->size() > TotalSizeLimit) {
        return problem("all files together would have more than " + std::to_string(TotalSizeLimit) + " bytes");
    }
    if (found == files.end() && files.size() >= FileCountLimit) {
        return problem("there would be more than " + std::to_string(FileCountLimit) + " files");
    }
    return std::nullopt;
}

void config_state_private::set(std::uint64_t version, const change_record &change)
{
    if (const auto found = files.find(change.file); found != files.end()) {
        totalSize -= found->second.content.size();
        files.erase(found);
    }
    if (change.content) {
        totalSize += change.content->size();
        files.emplace(change.file, config_file{.content = *change.content, .version = version, .author = change.author});
    }
}

std::uint64_t config_state_private::versionOf(const std::string &name) const
{
    const auto found = files.find(name);
    return found == files.end() ? 0 : found->second.version;
}

} // namespace detail

config_state::config_state()
    : d(std::make_unique<detail::config_state_private>())
{
}

config_state::~config_state() = default;

// The append id of a rejected change is remembered too: a retry must not be accepted after the file has changed again.
change_result config_state::apply(std::uint64_t offset, const change_record &change)
{
    change_result result;
    if (offset <= d->offset) {
        return result;
    }
    d->offset = offset;
    if (change.appendId.empty() || change.appendId.size() > AppendIdLimit || !isPrintable(change.appendId)) {
        result.outcome = change_outcome::invalid;
        result.problem = config_problem{.file = change.file, .line = 0, .key = {}, .why = "the append id is missing, too long or not printable ASCII"};
        return result;
    }
    if (!d->ids.add(change.appendId)) {
        result.outcome = change_outcome::repeated;
    } else if (change.baseVersion != d->versionOf(change.file)) {
        result.outcome = change_outcome::conflict;
    } else if ((result.problem = d->check(change))) {
        result.outcome = change_outcome::invalid;
    } else {
        result.outcome = change_outcome::accepted;
        d->set(offset, change);
    }
    if (const auto found = d->files.find(change.file); found != d->files.end()) {
        result.currentVersion = found->second.version;
        result.currentAuthor = found->second.author;
    }
    return result;
}

void config_state::skipTo(std::uint64_t offset)
{
    d->offset = std::max(d->offset, offset);
}

bool config_state::adopt(const snapshot_record &snapshot)
{
    if (snapshot.covers <= d->offset) {
        return false;
    }
    d->offset = snapshot.covers;
    d->files = snapshot.files;
    d->ids = recent_ids();
    for (const std::string &id : snapshot.recentIds) {
        d->ids.add(id);
    }
    d->totalSize = 0;
    for (const auto &[name, file] : d->files) {
        d->totalSize += file.content.size();
    }
    return true;
}

snapshot_record config_state::snapshot() const
{
    return {.covers = d->offset, .files = d->files, .recentIds = d->ids.list()};
}

const config_files &config_state::files() const
{
    return d->files;
}

std::uint64_t config_state::offset() const
{
    return d->offset;
}

} // namespace teaselward
