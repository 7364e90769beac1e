#pragma once

#include "config/config_files.h"
#include "config/config_model.h"
#include "config/config_problem.h"

#include <optional>
#include <string_view>

namespace teaselward
{

/**
 * Merges one file into a model, key by key; the file's keys replace earlier ones.
 * @param name name of the file
 * @param content its text
 * @param model the model; partly changed if there is a problem
 * @return nothing, or the first problem of the file
 */
std::optional<config_problem> mergeFile(std::string_view name, std::string_view content, config_model &model);

/**
 * Checks a file on its own. Whether it is valid depends on no other file, so that edits of different files commute.
 * @param name name of the file
 * @param content its text
 * @return nothing, or the first problem of the file
 */
std::optional<config_problem> checkFile(std::string_view name, std::string_view content);

/**
 * Merges files in the order of their names.
 * @param files the files; one that is not valid on its own is left out
 * @return the merged sections
 */
config_model mergeFiles(const config_files &files);

} // namespace teaselward
