#pragma once

#include "config/config_file.h"
#include "config/sync_action.h"
#include "config/synced_file.h"

#include <string>

namespace teaselward
{

/**
 * Hashes a content, to tell later whether a file has been edited.
 * @param content the content
 * @return the hash in hexadecimal
 */
std::string contentHash(const std::string &content);

/**
 * Decides what synchronizing does with one file. A folder that lacks the changes of another operator must neither undo them
 * nor remove files, so the decision compares both sides with the state on which they last agreed.
 * @param local content in the folder; null if it is absent there
 * @param synced state when both last agreed; null if the file was absent then or the folder was never synchronized
 * @param remote file on the log; null if it is absent there
 * @return the action
 */
sync_action planSync(const std::string *local, const synced_file *synced, const config_file *remote);

} // namespace teaselward
