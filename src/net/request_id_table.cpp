#include "net/request_id_table.hpp"

#include <functional>
#include <utility>

#include "net/limits.hpp"

namespace tideline::net {

std::optional<RequestIdDigest> RequestIdTable::reserve(ClientId client, std::string_view id,
                                                       Seconds now) {
    while (!remembered_.empty() && now - remembered_.front().since > kRepeatedIdWindow) {
        forget_oldest();
    }
    if (const auto last = last_answered_.find(client); last != last_answered_.end()) {
        release(last->second);
        last_answered_.erase(last);
    }
    const RequestIdDigest digest = std::hash<std::string_view>{}(id);
    if (!taken_.insert(digest).second) {
        return std::nullopt;
    }
    return digest;
}

void RequestIdTable::answered(RequestIdDigest id, ClientId client) {
    const auto [last, added] = last_answered_.emplace(client, id);
    if (!added) {
        // Requests with overlapping attempts may be settled after the client has sent the next one.
        release(std::exchange(last->second, id));
    }
}

void RequestIdTable::remember(RequestIdDigest id, Seconds now) {
    remembered_.push_back({id, now});
    if (remembered_.size() > kMaxRememberedIds) {
        forget_oldest();
    }
}

void RequestIdTable::client_disconnected(ClientId client, Seconds now) {
    const auto last = last_answered_.find(client);
    if (last == last_answered_.end()) {
        return;
    }
    remember(last->second, now);
    last_answered_.erase(last);
}

void RequestIdTable::forget_oldest() {
    release(remembered_.front().id);
    remembered_.pop_front();
}

}  // namespace tideline::net
