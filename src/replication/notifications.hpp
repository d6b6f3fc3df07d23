// Notifications of the effect log's client to primaries. Each is resent until a primary confirms
// it.
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

// A notification is the outcome of an attempt, bytes to store, or a read. Single-threaded; neither
// does I/O nor reads a clock.
class Notifications {
  public:
    explicit Notifications(const EffectLogClientSettings& settings) : settings_(settings) {}

    // These functions send a notification at once if the primary is known.
    void settle(Seconds now, const Key& key, const AttemptRecord& attempt,
                const std::string& answer, PrimaryRequests& requests, EffectLogClientHost& host);
    void store_bytes(Seconds now, const Key& key, const std::string& bytes,
                     PrimaryRequests& requests, EffectLogClientHost& host);
    void read(Seconds now, const Key& key, PrimaryRequests& requests, EffectLogClientHost& host);
    // Makes the next tick resend all notifications, as after a new table.
    void resend_all(Seconds now);
    // Returns false if the number does not belong to a notification.
    bool on_reply(RequestNumber number, Reply reply, const Record* record,
                  PrimaryRequests& requests, EffectLogClientHost& host);
    // Drops the notifications that have timed out, and resends those that are due.
    void tick(Seconds now, PrimaryRequests& requests, EffectLogClientHost& host);
    // When tick has to be called next; infinite without notifications.
    Seconds due() const;

    std::size_t count() const {
        return notifications_.size();
    }
    // Digest of the state for the model checker.
    std::string state() const;

  private:
    using NotificationId = std::uint64_t;
    struct Notification {
        enum class Kind { settle, store_bytes, read };
        Kind kind = Kind::settle;
        Key key;
        // settle: the attempt and its outcome.
        AttemptRecord attempt;
        // settle: the endpoint's answer. store_bytes: the bytes to store.
        std::string bytes;
        Seconds added_at = 0;
        Seconds resend_at = 0;
        // Number of the last request that was sent for it; 0: none yet.
        RequestNumber number;
    };

    void add_notification(Seconds now, Notification notification, PrimaryRequests& requests,
                          EffectLogClientHost& host);
    void send_notification(Seconds now, NotificationId id, Notification& notification,
                           PrimaryRequests& requests, EffectLogClientHost& host);

    EffectLogClientSettings settings_;
    // In the order in which they were added; at most kMaxNotifications.
    std::map<NotificationId, Notification> notifications_;
    // Notifications by the number of their last request. May refer to a notification that was
    // dropped.
    std::map<RequestNumber, NotificationId> ids_by_request_;
    NotificationId last_id_ = 0;
};

}  // namespace tideline::replication
