#pragma once

#include "config/config_file.h"
#include "config/sync_action.h"
#include "config/synced_file.h"

#include <string>

namespace teaselward
{

/**
 * Computes the hash by which edits of a file are detected.
 * @param content content of the file
 * @return the hash in hexadecimal
 */
std::string contentHash(const std::string &content);

/**
 * Decides how to synchronize one file. A folder without the latest changes of other operators must neither undo them nor
 * remove their files, so both sides are compared with the state in which they last agreed.
 * @param local content in the folder; null if the folder does not have the file
 * @param synced state when both last agreed; null if the file did not exist then or the folder was never synchronized
 * @param remote file on the log; null if the log does not have it
 * @return the action
 */
sync_action planSync(const std::string *local, const synced_file *synced, const config_file *remote);

} // namespace teaselward
