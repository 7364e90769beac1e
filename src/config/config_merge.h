#pragma once

#include "config/config_files.h"
#include "config/config_model.h"
#include "config/config_problem.h"

#include <optional>
#include <string_view>

namespace teaselward
{

/**
 * Merges one file into a model, key by key; the keys of the file override earlier ones.
 * @param name name of the file
 * @param content its text
 * @param model the model; partially changed if there is a problem
 * @return nothing, or the first problem of the file
 */
std::optional<config_problem> mergeFile(std::string_view name, std::string_view content, config_model &model);

/**
 * Checks a file on its own. The result does not depend on other files, so that changes of different files commute.
 * @param name name of the file
 * @param content its text
 * @return nothing, or the first problem of the file
 */
std::optional<config_problem> checkFile(std::string_view name, std::string_view content);

/**
 * Merges files in the order of their names.
 * @param files the files; invalid files are skipped
 * @return the merged sections
 */
config_model mergeFiles(const config_files &files);

} // namespace teaselward
