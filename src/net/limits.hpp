// Limits of the transport: buffer sizes, descriptor budgets, timeouts and backoffs. They bound the
// use of resources and make no routing decisions. Sizes are in bytes, times in seconds.
#pragma once

#include <cstddef>

#include "policy/types.hpp"

namespace tideline::net {

// --- Buffers and messages, in bytes

// Initial capacity of a connection's buffer. Almost every statement and answer fits.
constexpr std::size_t kInitialBufferBytes = 4096;
// Maximum size of a value in an answer. The protocol allows 64 KiB, but endpoints send up to 367
// KiB.
constexpr std::size_t kMaxValueBytes = 512 * 1024;
// Maximum size of a client's message: a value in hexadecimal digits and the statement around it.
constexpr std::size_t kMaxMessageBytes = 160 * 1024;
// Maximum size of an endpoint's message: the largest value and its framing.
constexpr std::size_t kMaxAnswerBytes = kMaxValueBytes + 4096;
// Maximum size of a connection's buffer: room for two of the largest answers, one of them partly
// read.
constexpr std::size_t kMaxBufferBytes = 2 * kMaxAnswerBytes;
// Maximum size of an endpoint's messages other than rows.
constexpr std::size_t kMaxNoticeBytes = 8192;
// Maximum size of a startup message, the same as in PostgreSQL.
constexpr std::size_t kMaxStartupBytes = 10000;
// Maximum number of bytes read from a connection in one pass of the event loop, so that no peer
// starves the others.
constexpr std::size_t kMaxReadBytesPerPass = 16 * 1024;
// Maximum number of messages of one client handled in each kMessageBurstInterval, so that no client
// starves the others.
constexpr int kMaxMessagesPerBurst = 16;
// Maximum size of the head of an HTTP response.
constexpr std::size_t kMaxHttpHeadBytes = 16 * 1024;
// Maximum length of the line that states the size of an HTTP chunk.
constexpr std::size_t kMaxChunkLineBytes = 256;
// Maximum size of a JSON object in a stream: an indented list of 10,000 endpoints fits.
constexpr std::size_t kMaxJsonObjectBytes = 8 * 1024 * 1024;
// Maximum size of the log lines that wait for a slow reader. Further lines are dropped and counted.
constexpr std::size_t kMaxPendingLogBytes = 256 * 1024;

// --- Descriptors and connections

// One in this many descriptors is reserved for connections to endpoints.
constexpr int kEndpointDescriptorDivisor = 8;
// One in this many descriptors may belong to an idle client.
constexpr int kIdleClientDescriptorDivisor = 8;
// Length of the kernel's queue of connections to be accepted; clients arrive in bursts.
constexpr int kListenBacklog = 1024;
// Descriptors reserved for discovery, the release platform, the log, and those opened within one
// pass of the event loop.
constexpr int kReservedDescriptors = 24;
// Maximum number of connections accepted in one pass of the event loop, so that accepting does not
// delay answers.
constexpr int kMaxAcceptsPerPass = 64;
// Maximum number of encryption requests that a client may send before its startup message: one for
// SSL and one for GSS.
constexpr int kMaxEncryptionRequests = 2;
// Maximum number of removed endpoints that are remembered; far fewer are removed while a list lags
// behind.
constexpr std::size_t kMaxRememberedGoneEndpoints = 1024;

// --- Connections to endpoints

// Share of the configured idle timeout after which the sidecar closes an idle connection, so that
// the sidecar closes it before the endpoint does.
constexpr double kIdleTimeoutFactor = 0.8;
// Time after an answer during which a connection is not used again: duplicate answers arrive some
// milliseconds after the answer.
constexpr Seconds kDuplicateAnswerQuietWindow = 0.02;
// How long an answer that equals the previous one on its connection is held: if it is a late
// duplicate, the real answer follows within this time.
constexpr Seconds kDuplicateAnswerHoldTimeout = 0.1;

// --- Discovery and release platform

// Limit for opening a connection to discovery or to the release platform; both are on the same
// network.
constexpr Seconds kConnectTimeout = 1;
// Longest silence of a watch, which sends an empty line every 2 s.
constexpr Seconds kWatchSilenceTimeout = 2.6;
// Longest wait for the first object of a watch. A call may be queued for 2 s, and two consecutive
// silent watches must be over within kMaxEndpointListAge.
constexpr Seconds kWatchFirstObjectTimeout = 2.4;
// Age after which the endpoint list is no longer trusted. The discovery protocol counts a change as
// notified after this time, whether or not it was read.
constexpr Seconds kMaxEndpointListAge = 6;
// The same after the address of discovery has changed, also as given by the protocol.
constexpr Seconds kMaxEndpointListAgeAfterMove = 4;
// Discovery may take 2 s to handle an accepted call. Silence for longer than that means that
// nothing had changed when it accepted the call.
constexpr Seconds kAcceptedCallSettleDelay = 2.1;
// Time within which a JSON object that has begun must be complete; after it the object counts as
// truncated.
constexpr Seconds kJsonObjectTimeout = 2;
// Longest silence of the release platform's feed, which sends a heartbeat every second.
constexpr Seconds kFeedSilenceTimeout = 3.2;
// Delay before a lost stream is opened again; it doubles from the initial to the maximum value.
constexpr Seconds kInitialReconnectBackoff = 0.2;
constexpr Seconds kMaxReconnectBackoff = 2;
// Time after which an unused connection for votes is closed. The platform may close idle
// connections at any time up to 10 s.
constexpr Seconds kVoteConnectionIdleTimeout = 2;

// --- Connections from clients

// Part of each time limit that is reserved for writing the answer.
constexpr Seconds kAnswerWriteMargin = 0.01;
// Time for a client to read the last answer before its connection is closed.
constexpr Seconds kClientLingerTimeout = 0.5;
// Time for a client to read the error that closes its connection.
constexpr Seconds kErrorLingerTimeout = 0.05;
// Time within which a client must have sent its startup message.
constexpr Seconds kStartupMessageTimeout = 1.5;
// Time without progress after which an incomplete message closes its connection.
constexpr Seconds kPartialMessageTimeout = 2;
// Time after which a client that does not read its answers is disconnected, because they hold
// memory. It is longer if the time limit of a request class is longer.
constexpr Seconds kUnreadAnswerTimeout = 5;
// Clients that have been idle for this time are closed first when descriptors run out.
constexpr Seconds kIdleClientEvictionThreshold = 2;
// Time that a well-behaved client needs at most to send its startup message. No connection is
// closed earlier to make room.
constexpr Seconds kClientSettleDelay = 0.05;
// Interval in which kMaxMessagesPerBurst messages of a client may be handled; others are served in
// between.
constexpr Seconds kMessageBurstInterval = 0.001;
// Pause before connections are accepted again after no descriptor was left.
constexpr Seconds kAcceptPause = 0.05;

// Time for which the id of a request that may have run is not used again after its client has
// disconnected. Longer than any client waits for an answer.
constexpr Seconds kRepeatedIdWindow = 60;
// Maximum number of such ids; the oldest is forgotten first.
constexpr std::size_t kMaxRememberedIds = 32'768;

// --- Process

// Time after which the sidecar serves clients even without a confirmed endpoint list.
constexpr Seconds kReadyTimeout = 5;
// Clients may still connect for up to 0.4 s after SIGTERM; the sidecar serves them for this time.
constexpr Seconds kShutdownOverlapDuration = 0.45;
// SIGKILL follows SIGTERM after the longest time limit of a request class, but after no more than
// the maximum here, and the extra time. What is not answered by then is lost.
constexpr Seconds kMaxTimeLimitAtShutdown = 3;
constexpr Seconds kExtraTimeAtShutdown = 0.7;
// How long a shutdown waits for a client that sends no more of an incomplete message, or takes no
// more of an answer.
constexpr Seconds kStalledClientTimeout = 1;
// A pass of the event loop that exceeds its expected time by this much means that the process was
// suspended or had no processor.
constexpr Seconds kSuspensionThreshold = 0.05;
// Interval between two reports of the counters in the log.
constexpr Seconds kReportInterval = 10;

}  // namespace tideline::net
