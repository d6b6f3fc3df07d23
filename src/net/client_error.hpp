// Errors that make the sidecar close a client's connection.
#pragma once

#include <string_view>

namespace tideline::net {

// The reason for which the sidecar closes a client's connection with an error.
enum class ClientError {
    no_startup_message,
    partial_message_stalled,
    answers_not_read,
    malformed_startup,
    encryption_unsupported,
    protocol_version_unsupported,
    message_type_unsupported,
    malformed_length,
    unterminated_query,
    not_a_request,
    malformed_budget,
    unknown_class_or_duplicate_id,
    too_many_partial_messages,
    shutting_down,
};
// The message and the SQLSTATE that the client receives.
std::string_view text_of(ClientError error);
std::string_view sqlstate_of(ClientError error);

}  // namespace tideline::net
