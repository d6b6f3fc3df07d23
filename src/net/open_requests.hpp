// Table of the admitted requests. A request stays in it until it has been answered and none of its
// attempts is in flight. Performs no I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include "net/client_connection.hpp"
#include "net/request_id_table.hpp"
#include "net/slots.hpp"
#include "policy/records.hpp"

namespace tideline::net {

struct OpenRequest {
    ClientId client;
    RequestIdDigest id = 0;         // the id that the client gave
    std::string statement;          // the text that the client sent
    std::size_t budget_offset = 0;  // offset of the time budget in the statement
    std::size_t budget_size = 0;
    RequestClass request_class;
    TenantId tenant;
    ObjectKey key;
    Seconds deadline = 0;
    int attempts = 0;  // number of attempts made so far
    int attempts_in_flight = 0;
    bool concluded = false;     // the request was answered, or its client has disconnected
    bool may_have_run = false;  // by the outcomes of its attempts so far
    // Always idempotent if there is no duplicate-effect guard.
    Effect effect = Effect::idempotent;
    // Set only if the effect is not idempotent.
    std::string fingerprint;
    std::string tenant_name;
};

class OpenRequests {
  public:
    RequestId add(OpenRequest request) {
        statement_bytes_ += request.statement.size();
        const RequestId number{requests_.add(std::move(request))};
        peak_ = std::max(peak_, requests_.size());
        return number;
    }
    // Returns the request, or null if it is not in the table.
    OpenRequest* find(RequestId request) {
        return requests_.find(request.value);
    }
    // Returns the request if it is not concluded and has no attempt in flight, or else null.
    OpenRequest* find_waiting(RequestId request) {
        OpenRequest* found = find(request);
        return found && !found->concluded && found->attempts_in_flight == 0 ? found : nullptr;
    }
    void remove(RequestId request) {
        if (const OpenRequest* found = find(request)) {
            statement_bytes_ -= found->statement.size();
        }
        requests_.remove(request.value);
    }
    // Sum of the sizes of all statements in the table, in bytes.
    std::size_t statement_bytes() const {
        return statement_bytes_;
    }
    std::size_t size() const {
        return requests_.size();
    }
    std::size_t peak() const {
        return peak_;
    }

  private:
    Slots<OpenRequest> requests_;
    std::size_t peak_ = 0;
    std::size_t statement_bytes_ = 0;
};

}  // namespace tideline::net
