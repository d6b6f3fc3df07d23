// Holds the requests that have no final answer yet or still have an attempt in flight, and the
// queue of those that wait for an endpoint.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

#include "policy/records.hpp"

namespace tideline {

class RequestTable {
  public:
    Request& add(RequestId id, Request request) {
        return requests_.insert_or_assign(id, std::move(request)).first->second;
    }
    // Returns null if the request is unknown or was erased.
    Request* find(RequestId id) {
        const auto found = requests_.find(id);
        return found == requests_.end() ? nullptr : &found->second;
    }
    void erase(RequestId id) {
        requests_.erase(id);
    }

    void enqueue(RequestId id, Request& request) {
        request.waiting = true;
        queue_.push_back(id);
    }
    void requeue(RequestId id) {
        queue_.push_back(id);
    }
    // Entries of requests that have ended count until take_queue() drops them.
    bool queue_empty() const {
        return queue_.empty();
    }
    // Counts the queued requests that still exist and satisfy the condition.
    template <class Condition>
    std::ptrdiff_t count_queued(Condition condition) const {
        return std::count_if(queue_.begin(), queue_.end(), [&](RequestId id) {
            const auto found = requests_.find(id);
            return found != requests_.end() && condition(found->second);
        });
    }
    // Empties the queue and returns the requests that still wait, the highest value first.
    template <class Value>
    std::deque<RequestId> take_queue(Value value) {
        std::deque<RequestId> taken;
        std::swap(taken, queue_);
        std::erase_if(taken, [this](RequestId id) {
            const Request* request = find(id);
            return !request || !request->waiting;
        });
        std::stable_sort(taken.begin(), taken.end(), [&](RequestId left, RequestId right) {
            return value(requests_.at(left)) > value(requests_.at(right));
        });
        return taken;
    }

  private:
    std::map<RequestId, Request> requests_;
    std::deque<RequestId> queue_;
};

}  // namespace tideline
