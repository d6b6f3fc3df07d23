// Notifications of the effect log's client to primaries, each sent until one has taken it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "replication/effect_log_client_host.hpp"
#include "replication/effect_log_settings.hpp"
#include "replication/primary_requests.hpp"
#include "replication/replica_host.hpp"
#include "replication/types.hpp"

namespace tideline::replication {

// An outcome of an attempt, bytes to store, or a read. One thread; no I/O, no clock.
class Notifications {
  public:
    explicit Notifications(const EffectLogClientSettings& settings) : settings_(settings) {}

    // Sends at once, if the primary is known.
    void settle(Seconds now, const Key& key, const AttemptRecord& attempt,
                const std::string& answer, PrimaryRequests& requests, EffectLogClientHost& host);
    void store_bytes(Seconds now, const Key& key, const std::string& bytes,
                     PrimaryRequests& requests, EffectLogClientHost& host);
    void read(Seconds now, const Key& key, PrimaryRequests& requests, EffectLogClientHost& host);
    // Sends all again with the next tick, as after a new table.
    void resend_all(Seconds now);
    // Returns false where the number is not that of a notification.
    bool on_reply(RequestNumber number, Reply reply, const Record* record,
                  PrimaryRequests& requests, EffectLogClientHost& host);
    // Gives up those that have timed out, and sends those that are due.
    void tick(Seconds now, PrimaryRequests& requests, EffectLogClientHost& host);
    // When tick is to be called next; infinite without notifications.
    Seconds due() const;

    std::size_t count() const {
        return notifications_.size();
    }
    // Digest of the state, for the model checker.
    std::string state() const;

  private:
    using NotificationId = std::uint64_t;
    struct Notification {
        enum class Kind { settle, store_bytes, read };
        Kind kind = Kind::settle;
        Key key;
        // settle: the attempt, with its outcome.
        AttemptRecord attempt;
        // settle: the endpoint's answer. store_bytes: the bytes.
        std::string bytes;
        Seconds since = 0;
        Seconds resend_at = 0;
        // Of the request that was sent last; 0: none yet.
        RequestNumber number;
    };

    void add_notification(Seconds now, Notification notification, PrimaryRequests& requests,
                          EffectLogClientHost& host);
    void send_notification(Seconds now, NotificationId id, Notification& notification,
                           PrimaryRequests& requests, EffectLogClientHost& host);

    EffectLogClientSettings settings_;
    // In the order in which they were added; at most kMaxNotifications.
    std::map<NotificationId, Notification> notifications_;
    // By the number of the request that was sent last. May name one that was given up.
    std::map<RequestNumber, NotificationId> ids_by_request_;
    NotificationId last_id_ = 0;
};

}  // namespace tideline::replication
