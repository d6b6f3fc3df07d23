// Bare limits of transport, each with its unit and the reason for its size. None of them decides anything:
// what goes where, and when to stop waiting, is the module's or told at start.
#pragma once

#include <cstddef>

#include "words.hpp"

namespace tideline::net {

constexpr std::size_t kRingFirst = 4096;          // bytes: holds nearly every statement and answer
constexpr std::size_t kValueMost = 65536;         // bytes: the protocol's largest value
constexpr std::size_t kMessageMost = 160 * 1024;  // bytes: a value in hex digits, and the statement around it
constexpr std::size_t kRingMost = 2 * 163840;     // bytes: two such messages, one partly read
constexpr std::size_t kStartupMost = 10000;       // bytes: PostgreSQL's own bound on a startup packet
constexpr std::size_t kHeadMost = 16 * 1024;      // bytes: an HTTP head; longer ones are not meant for us
constexpr std::size_t kChunkLineMost = 256;       // bytes: the line that tells a chunk's size
constexpr std::size_t kLineMost = 4 * 1024 * 1024;  // bytes: one line of JSON; a list of 10,000 pods fits
constexpr std::size_t kLogHeld = 256 * 1024;  // bytes: log lines that wait for a slow reader; then dropped
constexpr int kSocketsForPods = 8;            // of so many descriptors one is kept from clients for pods
constexpr int kBacklog = 1024;         // connections that wait to be accepted, as others come in bursts
constexpr int kSocketsSpared = 24;     // descriptors: list, platform, log, and what opens in one pass
constexpr int kAcceptsAPass = 64;      // connections: so that accepting can't hold up answers
constexpr double kIdlePart = 0.8;      // of the idle time told: we close before the pod does
constexpr Seconds kPeerConnect = 1;    // s: a connection to list or platform on the same network
constexpr Seconds kListSilence = 3.2;  // s: the list's empty lines come every 2 s
constexpr Seconds kFeedSilence = 3.2;  // s: the feed's signs of life come every 1 s
constexpr Seconds kReopenFirst = 0.2;  // s: pause before a lost feed is opened again; doubles
constexpr Seconds kReopenMost = 2;     // s: longest such pause, two signs of life
constexpr Seconds kCallIdle = 2;       // s: the platform may close idle connections at any time to 10 s
constexpr Seconds kWriteRoom = 0.01;   // s: kept of each time limit for the answer's way out
constexpr Seconds kLinger = 0.5;       // s: an ended connection may still take in the last answer
constexpr Seconds kLetGoAfter = 0.45;  // s: after SIGTERM clients still come for up to 0.4 s
constexpr Seconds kStalled = 1;        // s: after that, half a query is no longer waited for
constexpr Seconds kReportEvery = 10;   // s: a log line with peaks and counts

}  // namespace tideline::net
