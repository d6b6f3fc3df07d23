#include "net/client_error.hpp"

namespace tideline::net {

std::string_view text_of(ClientError error) {
    switch (error) {
        case ClientError::no_startup_message:
            return "no startup message within the time limit";
        case ClientError::partial_message_stalled:
            return "incomplete message: the rest did not arrive in time";
        case ClientError::answers_not_read:
            return "answers were not read in time";
        case ClientError::malformed_startup:
            return "malformed startup message";
        case ClientError::encryption_unsupported:
            return "encryption is not supported";
        case ClientError::protocol_version_unsupported:
            return "unsupported protocol version; supported is 3";
        case ClientError::message_type_unsupported:
            return "unsupported message type; supported are Query and Terminate";
        case ClientError::malformed_length:
            return "invalid message length";
        case ClientError::unterminated_query:
            return "query text is not terminated by a zero byte";
        case ClientError::not_a_request:
            return "statement is not a request of this service; id and c are required";
        case ClientError::malformed_budget:
            return "invalid time budget d; allowed is a number of milliseconds from 0 on";
        case ClientError::unknown_class_or_duplicate_id:
            return "unknown request class c, or id of a request in flight";
        case ClientError::too_many_partial_messages:
            return "incomplete messages take up too much memory";
        case ClientError::shutting_down:
            return "the sidecar is shutting down";
    }
    return "";
}

std::string_view sqlstate_of(ClientError error) {
    switch (error) {
        case ClientError::protocol_version_unsupported:
            return "0A000";
        case ClientError::not_a_request:
            return "42601";
        case ClientError::malformed_budget:
        case ClientError::unknown_class_or_duplicate_id:
            return "22023";
        case ClientError::too_many_partial_messages:
            return "53200";
        case ClientError::shutting_down:
            return "57P03";
        default:
            return "08P01";
    }
}

}  // namespace tideline::net
