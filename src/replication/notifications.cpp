#include "replication/notifications.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace tideline::replication {

void Notifications::settle(Seconds now, const Key& key, const AttemptRecord& attempt,
                           const std::string& answer, PrimaryRequests& requests,
                           EffectLogClientHost& host) {
    Notification notification;
    notification.kind = Notification::Kind::settle;
    notification.key = key;
    notification.attempt = attempt;
    notification.bytes = answer;
    add_notification(now, std::move(notification), requests, host);
}

void Notifications::store_bytes(Seconds now, const Key& key, const std::string& bytes,
                                PrimaryRequests& requests, EffectLogClientHost& host) {
    Notification notification;
    notification.kind = Notification::Kind::store_bytes;
    notification.key = key;
    notification.bytes = bytes;
    add_notification(now, std::move(notification), requests, host);
}

void Notifications::read(Seconds now, const Key& key, PrimaryRequests& requests,
                         EffectLogClientHost& host) {
    Notification notification;
    notification.kind = Notification::Kind::read;
    notification.key = key;
    add_notification(now, std::move(notification), requests, host);
}

void Notifications::add_notification(Seconds now, Notification notification,
                                     PrimaryRequests& requests, EffectLogClientHost& host) {
    if (notifications_.size() >= kMaxNotifications) {
        ids_by_request_.erase(notifications_.begin()->second.number);
        notifications_.erase(notifications_.begin());
    }
    const NotificationId id = ++last_id_;
    notification.added_at = now;
    Notification& added = notifications_[id] = std::move(notification);
    send_notification(now, id, added, requests, host);
}

// Sends the notification to the primary, if it is known. The interval between two sends grows.
void Notifications::send_notification(Seconds now, NotificationId id, Notification& notification,
                                      PrimaryRequests& requests, EffectLogClientHost& host) {
    ids_by_request_.erase(notification.number);
    notification.resend_at =
        now + std::clamp((now - notification.added_at) / 2, 2 * settings_.resend_interval,
                         kMaxNotificationInterval);
    const Name* const primary = requests.primary_of(notification.key);
    if (!primary) {
        return;
    }
    notification.number = requests.begin_request(now, *primary);
    ids_by_request_[notification.number] = id;
    switch (notification.kind) {
        case Notification::Kind::settle:
            return host.send_settle(*primary, notification.number, notification.key,
                                    notification.attempt, notification.bytes);
        case Notification::Kind::store_bytes:
            return host.send_bytes(*primary, notification.number, notification.key,
                                   notification.bytes);
        case Notification::Kind::read:
            return host.send_read(*primary, notification.number, notification.key);
    }
}

void Notifications::resend_all(Seconds now) {
    for (auto& [id, notification] : notifications_) {
        notification.resend_at = now;
    }
}

bool Notifications::on_reply(RequestNumber number, Reply reply, const Record* record,
                             PrimaryRequests& requests, EffectLogClientHost& host) {
    const auto id = ids_by_request_.find(number);
    if (id == ids_by_request_.end()) {
        return false;
    }
    const auto notification = notifications_.find(id->second);
    ids_by_request_.erase(id);
    if (notification == notifications_.end()) {
        return true;
    }
    requests.on_reply(notification->second.key);
    if (reply == Reply::record_read) {
        host.on_record_read(notification->second.key, record);
    }
    if (reply == Reply::stored || reply == Reply::record_read) {
        notifications_.erase(notification);
    }
    return true;
}

void Notifications::tick(Seconds now, PrimaryRequests& requests, EffectLogClientHost& host) {
    std::erase_if(notifications_, [&](const auto& each) {
        const bool timed_out = now > each.second.added_at + settings_.notification_timeout;
        if (timed_out) {
            ids_by_request_.erase(each.second.number);
        }
        return timed_out;
    });
    for (auto& [id, notification] : notifications_) {
        if (now >= notification.resend_at) {
            send_notification(now, id, notification, requests, host);
        }
    }
}

Seconds Notifications::due() const {
    Seconds next = std::numeric_limits<double>::infinity();
    for (const auto& [id, notification] : notifications_) {
        next = std::min(next, notification.resend_at);
    }
    return next;
}

std::string Notifications::state() const {
    std::string text;
    for (const auto& [id, notification] : notifications_) {
        text += fmt::format("t{}.{}.{}", notification.key.value[0], notification.attempt.number,
                            static_cast<int>(notification.attempt.outcome));
    }
    return text;
}

}  // namespace tideline::replication
