// Converts between the cluster's types and its protobuf messages. Fields of the messages whose
// names differ from those of the types are mapped here.
#pragma once

#include "audit/audit_log.hpp"
#include "audit/version_audit.hpp"
#include "cluster.pb.h"
#include "cluster/membership.hpp"

namespace tideline::cluster {

void put(const Entry& entry, wire::Entry& to);
void put(const Gossip& gossip, wire::Gossip& to);
void put(const audit::Record& record, wire::Record& to);
void put(const audit::ContentVersion& version, wire::Mark& to);
Entry entry_from(const wire::Entry& from);
Gossip gossip_from(const wire::Gossip& from);
audit::Record record_from(const wire::Record& from);
audit::ContentVersion content_version_from(const wire::Mark& from);

// The number of a version part in messages. An unknown number is read as the release status;
// is_version_part() tells whether a number is known.
std::uint32_t wire_number_of(audit::VersionPart part);
audit::VersionPart version_part_from(std::uint32_t number);
bool is_version_part(std::uint32_t number);

// Encode a message as a frame, and decode a message from the body of a frame. decode_message()
// returns false if the body holds no message.
std::string encode_message(const wire::Word& message);
bool decode_message(std::string_view body, wire::Word& message);

}  // namespace tideline::cluster
