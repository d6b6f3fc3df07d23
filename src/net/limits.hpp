// Limits of the transport: buffer sizes, descriptor budgets, timeouts and backoffs. They bound
// resources; they take no routing decision. Sizes are in bytes, times in seconds.
#pragma once

#include <cstddef>

#include "policy/types.hpp"

namespace tideline::net {

// --- Buffers and messages, in bytes

// Initial capacity of a connection's buffer: nearly every statement and answer fits.
constexpr std::size_t kInitialBufferBytes = 4096;
// One value in an answer. The protocol allows 64 KiB; endpoints were seen to send 367 KiB.
constexpr std::size_t kMaxValueBytes = 512 * 1024;
// One message of a client: a value in hex digits and the statement around it.
constexpr std::size_t kMaxMessageBytes = 160 * 1024;
// One message of an endpoint: the largest value and what surrounds it.
constexpr std::size_t kMaxAnswerBytes = kMaxValueBytes + 4096;
// A connection's buffer: two of the largest answers, one of them partly read.
constexpr std::size_t kMaxBufferBytes = 2 * kMaxAnswerBytes;
// Every message of an endpoint other than a row.
constexpr std::size_t kMaxNoticeBytes = 8192;
// A startup packet; the bound that PostgreSQL itself has.
constexpr std::size_t kMaxStartupBytes = 10000;
// Read from one connection in one pass of the loop, so that no peer starves the others.
constexpr std::size_t kMaxReadBytesPerPass = 16 * 1024;
// Messages of one client handled in one pass of the loop, for the same reason.
constexpr int kMaxMessagesPerPass = 16;
// Incomplete messages of all clients together; the process may use 32 MB.
constexpr std::size_t kMaxPartialMessageBytes = 4 * 1024 * 1024;
// The head of an HTTP response.
constexpr std::size_t kMaxHttpHeadBytes = 16 * 1024;
// The line that states the size of an HTTP chunk.
constexpr std::size_t kMaxChunkLineBytes = 256;
// One JSON object of a stream: an indented list of 10,000 endpoints fits.
constexpr std::size_t kMaxJsonObjectBytes = 8 * 1024 * 1024;
// Log lines that wait for a slow reader; further lines are dropped and counted.
constexpr std::size_t kMaxPendingLogBytes = 256 * 1024;

// --- Descriptors and connections

// One descriptor in so many is reserved for connections to endpoints.
constexpr int kEndpointDescriptorDivisor = 8;
// One descriptor in so many may belong to an idle client.
constexpr int kIdleClientDescriptorDivisor = 8;
// Connections that wait in the kernel to be accepted; clients arrive in bursts.
constexpr int kListenBacklog = 1024;
// Descriptors reserved for discovery, platform, log, and what opens within one pass.
constexpr int kReservedDescriptors = 24;
// Connections accepted in one pass of the loop, so that accepting does not delay answers.
constexpr int kMaxAcceptsPerPass = 64;
// Requests for encryption that a client may send before its startup message: SSL and GSS, once
// each.
constexpr int kMaxEncryptionRequests = 2;
// Endpoints that have gone and are remembered: far more than go while a list lags.
constexpr std::size_t kMaxRememberedGoneEndpoints = 1024;

// --- Connections to endpoints

// Share of the configured idle timeout after which the sidecar closes an idle connection, so that
// it closes before the endpoint does.
constexpr double kIdleTimeoutFactor = 0.8;
// Quiet time of a connection after an answer, s: duplicate answers arrive some milliseconds late.
constexpr Seconds kDuplicateAnswerQuietWindow = 0.02;
// An answer that equals the one before it on its connection is held for that time, s: if it is a
// duplicate that came later than the quiet time, the true answer follows.
constexpr Seconds kDuplicateAnswerHoldTimeout = 0.1;

// --- Discovery and release platform

// Opening a connection to discovery or to the platform, s: both are on the same network.
constexpr Seconds kConnectTimeout = 1;
// Longest silence of the watch, s: it sends an empty line every 2 s.
constexpr Seconds kWatchSilenceTimeout = 2.6;
// Longest wait for the first object of a watch, s: a call may be queued for 2 s, and two silent
// watches have to be over within kEndpointListMaxAge.
constexpr Seconds kWatchFirstObjectTimeout = 2.4;
// Given by the protocol, s: a change counts as notified after that time, read or not.
constexpr Seconds kMaxEndpointListAge = 6;
// Given by the protocol, s: the same after the address of discovery changed.
constexpr Seconds kMaxEndpointListAgeAfterMove = 4;
// An accepted call may be worked on for 2 s, s: silence for longer means that nothing had changed.
constexpr Seconds kAcceptedCallSettleDelay = 2.1;
// A JSON object that has begun is complete within that time, s, or was cut off.
constexpr Seconds kJsonObjectTimeout = 2;
// Longest silence of the platform's feed, s: it sends a heartbeat every 1 s.
constexpr Seconds kFeedSilenceTimeout = 3.2;
// Backoff before a lost stream is opened again, s: doubles from the initial to the longest.
constexpr Seconds kInitialReconnectBackoff = 0.2;
constexpr Seconds kMaxReconnectBackoff = 2;
// An unused connection for votes is closed after that time, s: the platform may close idle ones at
// any time up to 10 s.
constexpr Seconds kVoteConnectionIdleTimeout = 2;

// --- Connections from clients

// Reserved of each time limit for writing the answer, s.
constexpr Seconds kAnswerWriteMargin = 0.01;
// Time for a client to read the last answer before its connection is closed, s.
constexpr Seconds kClientLingerTimeout = 0.5;
// Time for a client to read the error for which its connection is closed, s.
constexpr Seconds kErrorLingerTimeout = 0.05;
// A startup message follows the connection within that time, s.
constexpr Seconds kStartupMessageTimeout = 1.5;
// An incomplete message that has not grown for that time, s, ends its connection.
constexpr Seconds kPartialMessageTimeout = 2;
// An answer that the client does not read holds memory for that time, s; longer where time limits
// of requests are longer.
constexpr Seconds kUnreadAnswerTimeout = 5;
// A client idle for that time, s, is closed first when descriptors run out.
constexpr Seconds kIdleClientEvictionThreshold = 2;
// Time within which a usual client has sent its startup message, s; no client is closed earlier to
// make room.
constexpr Seconds kClientSettleDelay = 0.05;
// Delay before further messages of one client are read, s, so that others are served between.
constexpr Seconds kNextMessagesDelay = 0.001;

// --- Process

// The sidecar accepts clients after that time, s, also without a confirmed endpoint list.
constexpr Seconds kReadyTimeout = 5;
// After SIGTERM clients may still connect for up to 0.4 s; the sidecar serves them for that time,
// s.
constexpr Seconds kShutdownOverlap = 0.45;
// While shutting down, an incomplete message is waited for that long, s.
constexpr Seconds kStalledClientTimeout = 1;
// A pass of the loop that takes longer, s, means that the process was suspended or had no core.
constexpr Seconds kSuspensionThreshold = 0.05;
// Time between two reports of counters in the log, s.
constexpr Seconds kReportInterval = 10;

}  // namespace tideline::net
