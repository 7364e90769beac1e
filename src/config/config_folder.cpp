#include "config/config_folder.h"

#include "config/config_limits.h"

#include <cerrno>
#include <fstream>

namespace teaselward
{

namespace
{

std::error_code systemError()
{
    return {errno == 0 ? EIO : errno, std::generic_category()};
}

} // namespace

std::error_code readTextFile(const std::filesystem::path &path, std::string &text)
{
    errno = 0;
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return systemError();
    }
    text.resize(FileSizeLimit + 1);
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad()) {
        return systemError();
    }
    text.resize(static_cast<std::size_t>(in.gcount()));
    return {};
}

std::error_code writeTextFile(const std::filesystem::path &path, const std::string &text)
{
    const std::filesystem::path temporary = path.parent_path() / ('.' + path.filename().string() + ".new");
    errno = 0;
    std::ofstream out(temporary, std::ios::binary | std::ios::trunc);
    out << text << std::flush;
    if (!out) {
        return systemError();
    }
    out.close();
    std::error_code error;
    std::filesystem::rename(temporary, path, error);
    return error;
}

std::error_code readFolder(const std::filesystem::path &folder, folder_texts &texts)
{
    texts.clear();
    std::error_code error;
    std::filesystem::directory_iterator entry(folder, error);
    for (; !error && entry != std::filesystem::directory_iterator(); entry.increment(error)) {
        const std::string name = entry->path().filename().string();
        if (name.starts_with('.') || name.ends_with('~') || !entry->is_regular_file(error)) {
            continue;
        }
        if (const std::error_code failed = readTextFile(entry->path(), texts[name])) {
            return failed;
        }
    }
    return error;
}

} // namespace teaselward
