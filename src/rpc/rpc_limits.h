#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace teaselward
{

/** Version of the messages in wire.capnp. Peers with another version are refused. */
constexpr std::uint32_t ProtocolVersion = 2;

/**
 * Longest message that is read, in words of eight bytes (16 MiB). It also is the traversal limit of the reader, so that a
 * message whose pointers overlap cannot be expanded beyond it. It is above the greatest body of a submission.
 */
constexpr std::uint64_t MaxMessageWords = 2 * 1024 * 1024;

/** Depth of structures in a message; the schema needs 6. */
constexpr int MaxMessageDepth = 16;

/**
 * Payload or result bytes that are sent in one message. The rest of the message is left for names, numbers and padding.
 */
constexpr std::size_t MaxMessageBodyBytes = MaxMessageWords * 8 - 1024 * 1024;

/** Connections of one process; two years ahead there are 3,200 agents and a few entries. */
constexpr std::size_t MaxLinks = 8192;

/** Connections that have not sent their first message. */
constexpr std::size_t MaxUnregisteredLinks = 1024;

/** Calls of one session that wait for their answers. */
constexpr std::size_t MaxSessionCalls = 4096;

/** Sessions that two entries keep with each other when both connect at the same time. */
constexpr std::size_t MaxPeerLinks = 4;

/** Addresses of entries that a process remembers. */
constexpr std::size_t MaxKnownEntries = 256;

/** Time for the answer to a refused first message to leave before the connection is closed. */
constexpr std::chrono::milliseconds RefusalDelay{100};

/** Longest time that stop() waits for messages that are queued for sending. */
constexpr std::chrono::milliseconds FlushTimeout{1000};

/** Longest wait at the stop until the other sides have closed their connections. */
constexpr std::chrono::milliseconds FinishTimeout{500};

} // namespace teaselward
