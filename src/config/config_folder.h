#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <system_error>

namespace teaselward
{

/** Contents of the files of a folder by name. */
using folder_texts = std::map<std::string, std::string, std::less<>>;

/**
 * Reads a file. Reads at most one byte more than a configuration file may have, so that a wrong path does not fill the memory.
 * @param path path of the file
 * @param text set to its content
 * @return no error, or an error of the system
 */
std::error_code readTextFile(const std::filesystem::path &path, std::string &text);

/**
 * Replaces a file atomically by renaming a new one, so that a reader never sees a partial file.
 * @param path path of the file
 * @param text its new content
 * @return no error, or an error of the system
 */
std::error_code writeTextFile(const std::filesystem::path &path, const std::string &text);

/**
 * Reads the files of a folder. Hidden files, editor backups (NAME~) and subfolders are skipped.
 * @param folder path of the folder
 * @param texts set to the contents of the files
 * @return no error, or an error of the system
 */
std::error_code readFolder(const std::filesystem::path &folder, folder_texts &texts);

} // namespace teaselward
