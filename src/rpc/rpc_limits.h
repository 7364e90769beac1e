#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace teaselward
{

/** Version of the protocol in wire.capnp. Peers with another version are refused. */
constexpr std::uint32_t ProtocolVersion = 2;

/**
 * Size limit of a received message, in words of eight bytes (16 MiB). It also is the traversal limit of the reader, so that a
 * message with overlapping pointers cannot be expanded beyond it. It exceeds the size limit of a submission's body.
 */
constexpr std::uint64_t MaxMessageWords = 2 * 1024 * 1024;

/** Nesting limit of structs in a message; the schema needs 6. */
constexpr int MaxMessageDepth = 16;

/**
 * Size limit of the payloads or results in one message, in bytes. The rest of the message holds names, numbers and padding.
 */
constexpr std::size_t MaxMessageBodyBytes = MaxMessageWords * 8 - 1024 * 1024;

/** Limit of the connections of one process; the number of agents is expected to reach 3,200 within two years. */
constexpr std::size_t MaxLinks = 8192;

/** Limit of the connections whose first message has not been accepted. */
constexpr std::size_t MaxUnregisteredLinks = 1024;

/** Limit of the calls of one session that wait for their answers. */
constexpr std::size_t MaxSessionCalls = 4096;

/**
 * Time limit of an attempt to connect. A link of a region answers within milliseconds. An attempt that began while the other VM had no
 * power gets no answer even once it is back, so a longer limit delays the reconnection of all sessions after an outage.
 */
constexpr std::chrono::milliseconds MaxConnectTime{200};

/** Limit of the kinds in the report of a crash; one endpoint runs far fewer tasks at a time. */
constexpr std::size_t MaxCrashSuspects = 1024;

/** Size limit of the name of a kind in the report of a crash, in bytes. */
constexpr std::size_t MaxKindBytes = 1024;

/** Limit of the pairs of kinds in a report; an agent monitors 32 kinds. */
constexpr std::size_t MaxKindPairs = 1024;

/** Limit of the sessions that two entries have with each other; several arise when both connect at the same time. */
constexpr std::size_t MaxPeerLinks = 4;

/** Limit of the entry addresses that a process remembers. */
constexpr std::size_t MaxKnownEntries = 256;

/** Delay before a refused connection is closed, so that the answer to its first message is sent. */
constexpr std::chrono::milliseconds RefusalDelay{100};

/** Longest time that stop() waits until the send queues are empty. */
constexpr std::chrono::milliseconds FlushTimeout{1000};

/** Longest time that stop() then waits until the other sides have closed their connections. */
constexpr std::chrono::milliseconds FinishTimeout{500};

} // namespace teaselward
