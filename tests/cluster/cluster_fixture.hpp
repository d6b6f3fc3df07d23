// Shared by the tests of membership and version audit: hosts that record the calls they receive,
// and functions that build entries.
#pragma once

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "audit/audit_log.hpp"
#include "audit/version_audit.hpp"
#include "cluster/membership.hpp"

namespace tideline::test {

using namespace cluster;
using audit::ContentVersion;
using audit::VersionPart;

// Records what the membership sends and reports.
struct RecordingMembershipHost : MembershipHost {
    struct SentGossip {
        Name to;
        PingId ping_id;
        Gossip gossip;
    };
    std::vector<SentGossip> pings;
    std::vector<SentGossip> indirect_pings;
    std::vector<SentGossip> acknowledgements;
    std::vector<SentGossip> sent_tables;
    std::vector<Name> no_answer_reports;
    std::vector<std::string> table_requests;
    std::vector<std::string> membership_alarms;
    std::vector<std::pair<Entry, MemberState>> changes;
    void ping(const Name& to, PingId ping_id, const Gossip& gossip) override {
        pings.push_back({to, ping_id, gossip});
    }
    void request_indirect_ping(const Name& helper, PingId ping_id, const Name&,
                               const Gossip& gossip) override {
        indirect_pings.push_back({helper, ping_id, gossip});
    }
    void acknowledge(const Name& to, PingId ping_id, const Gossip& gossip) override {
        acknowledgements.push_back({to, ping_id, gossip});
    }
    void report_no_answer(const Name& to, PingId) override {
        no_answer_reports.push_back(to);
    }
    void request_table(const std::string& address) override {
        table_requests.push_back(address);
    }
    void send_table(const Name& to, const Gossip& part, bool) override {
        sent_tables.push_back({to, {}, part});
    }
    void on_member_changed(const Entry& entry, MemberState before, bool) override {
        changes.emplace_back(entry, before);
    }
    void raise_membership_alarm(const std::string& text) override {
        membership_alarms.push_back(text);
    }
};

// Records what the version audit requests, applies and reports.
struct RecordingVersionAuditHost : audit::VersionAuditHost {
    std::vector<Name> version_requests;
    std::vector<Name> exclusion_notices;
    std::vector<std::pair<Name, VersionPart>> transfer_requests;
    std::vector<std::pair<Name, ContentVersion>> confirmation_requests;
    std::vector<ContentVersion> applied_versions;
    std::vector<std::pair<Name, bool>> gossiped_exclusions;
    std::vector<TrialParticipation> participations;
    std::vector<std::string> alarms;
    void request_versions(const Name& of) override {
        version_requests.push_back(of);
    }
    void request_transfer(const Name& from, VersionPart part) override {
        transfer_requests.emplace_back(from, part);
    }
    void request_confirmation(const Name& of, VersionPart, const ContentVersion& version) override {
        confirmation_requests.emplace_back(of, version);
    }
    void apply_version(VersionPart, const ContentVersion& version) override {
        applied_versions.push_back(version);
    }
    void notify_excluded(const Name& name) override {
        exclusion_notices.push_back(name);
    }
    void gossip_exclusion(const Name& name, const Incarnation&, bool excluded) override {
        gossiped_exclusions.emplace_back(name, excluded);
    }
    void trial_participation(TrialParticipation trial_participation) override {
        participations.push_back(trial_participation);
    }
    void raise_audit_alarm(const std::string& text) override {
        alarms.push_back(text);
    }
};

inline Entry entry_of(const std::string& name, std::uint64_t incarnation = 1,
                      std::uint32_t refutations = 0) {
    Entry entry;
    entry.name = Name{name};
    entry.incarnation = Incarnation{incarnation};
    entry.refutation_count = RefutationCount{refutations};
    entry.address = "127.0.0.1:" + std::to_string(1000 + std::hash<std::string>{}(name) % 9000);
    return entry;
}
inline Entry with_state(Entry entry, MemberState state, const std::string& by = "x") {
    entry.state = state;
    entry.suspected_by = Name{by};
    return entry;
}

}  // namespace tideline::test
