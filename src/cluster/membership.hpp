// Membership of the cluster by gossip: SWIM with suspicion and local health awareness
// (docs/cluster.md). Who is present, suspected, gone or has left, and in which incarnation; the
// cost a member is constant, whatever the size of the cluster. No I/O and no clock: each call
// carries the time in seconds, which never goes back, and acts through MembershipHost before it
// returns.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/types.hpp"
#include "swim/dissemination.hpp"
#include "swim/failure_detector.hpp"
#include "swim/indirect_pings.hpp"
#include "swim/member_table.hpp"
#include "swim/random_source.hpp"
#include "swim/suspicions.hpp"
#include "swim/table_exchange.hpp"

namespace tideline::cluster {

using Gossip = std::vector<Entry>;

// What the membership does to the outside. No call may call back into the membership.
class MembershipHost {
  public:
    virtual ~MembershipHost() = default;
    virtual void ping(const Name& to, PingId ping_id, const Gossip& gossip) = 0;
    virtual void request_indirect_ping(const Name& helper, PingId ping_id, const Name& target,
                                       const Gossip& gossip) = 0;
    virtual void acknowledge(const Name& to, PingId ping_id, const Gossip& gossip) = 0;
    virtual void report_no_answer(const Name& to, PingId ping_id) = 0;
    virtual void request_table(
        const std::string& address) = 0;  // asks whichever member is there for its table
    virtual void send_table(const Name& to, const Gossip& part, bool wants_back) = 0;
    virtual void on_member_changed(const Entry& entry, MemberState before,
                                   bool new_incarnation) = 0;
    virtual void raise_membership_alarm(const std::string& text) = 0;
};

// Seconds, all above 0; they can change at run time.
struct MembershipSettings {
    Seconds period = 1;         // from one ping to the next
    Seconds answer_wait = 0.3;  // for a direct answer, under half of the period
    Seconds regain_every =
        5;  // from one request to a member that is gone, or a seed not met yet, to the next
    Seconds remember = 86400;  // members that are gone or have left, for so long
};

class Membership {
  public:
    Membership(MembershipHost& host, const MembershipSettings& settings, Entry self,
               std::vector<std::string> seeds, std::uint64_t seed, Seconds now);
    // The same state under another host: for searches through its states.
    Membership(const Membership& other, MembershipHost& host) : Membership(other) {
        host_ = &host;
    }

    Seconds due() const {
        return due_;
    }  // when tick is to be called next
    void tick(Seconds now);

    // Messages received. `from`: the sender's own entry.
    void ping_received(Seconds now, const Entry& from, PingId ping_id, const Gossip& gossip);
    void indirect_ping_requested(Seconds now, const Entry& from, PingId ping_id, const Name& target,
                                 const Gossip& gossip);
    void answered(Seconds now, const Entry& from, PingId ping_id, const Gossip& gossip);
    void no_answer_reported(Seconds now, const Entry& from, PingId ping_id) {
        heard_from(now, from);
        detector_.not_answered(ping_id);
    }
    void table_requested(Seconds now, const Entry& from);
    void table_received(Seconds now, const Entry& from, const Gossip& part, bool wants_back);
    void unreachable(Seconds now, const Name& name);  // a connection to it was refused or broken

    // This member's own versions.
    void acts_on(Seconds, const Version& version) {
        self_.version = version;
    }
    void rule(Seconds now, const Name& name, const Incarnation& incarnation,
              bool excluded);  // it is excluded, or readmitted
    void leave(Seconds now);
    // Settings that were read anew while the program runs.
    void set_settings(const MembershipSettings& settings, std::vector<std::string> seeds) {
        settings_ = settings;
        seeds_ = std::move(seeds);
    }

    const Entry& self() const {
        return self_;
    }
    const std::map<Name, Entry>& others() const {
        return table_.entries();
    }
    std::size_t present() const {
        return table_.present();
    }  // others present or suspected
    std::optional<Entry> find(const Name& name) const;
    int health() const {
        return detector_.health();
    }  // 0: this member is not slow, as far as it can tell
    int name_claims() const {
        return name_claims_;
    }  // how often another claimed this name

  private:
    // Gossip
    void heard_from(Seconds now, const Entry& sender);
    void merge_all(Seconds now, const Gossip& gossip, const Name& gossiper);
    void merge(Seconds now, const Entry& gossip_entry, const Name& gossiper, bool from_table);
    void merge_new(Seconds now, const Entry& gossip_entry, bool from_table);
    void merge_self(const Entry& gossip_entry);
    void put(Seconds now, const Entry& entry, bool gossiped = true);
    Gossip gossip_for(const Name& to) {
        return dissemination_.entries_for(to, self_, table_, too_old(due_));
    }
    // Suspicion
    void accuse(Seconds now, const Name& name, const Name& accuser);
    void declare_gone(Seconds now);
    // Pings
    void start_probe(Seconds now);
    void probe_indirectly();
    void conclude_probe(Seconds now);
    void discount_stall(Seconds late);
    // Tables
    void request_table();
    void send_table(Seconds now, const Name& to, bool wants_back);
    void forget_old(Seconds now);

    void update_due();
    // Entries of members that are gone since before are not gossiped any more.
    Seconds too_old(Seconds now) const {
        return now - settings_.remember * kGossipedPart;
    }

    // Of the time that a gone member is remembered, its entry is gossiped. It would be passed on
    // for ever if members gossiped it until they forget it.
    static constexpr double kGossipedPart = 0.5;

    MembershipHost* host_;
    MembershipSettings settings_;
    Entry self_;
    std::vector<std::string> seeds_;
    swim::RandomSource random_;
    swim::MemberTable table_;
    swim::Suspicions suspicions_;
    swim::Dissemination dissemination_;
    swim::FailureDetector detector_;
    swim::IndirectPings indirect_pings_;
    swim::TableExchange table_exchange_;
    Seconds next_period_ = 0;
    Seconds next_regain_ = 0;
    Seconds due_ = 0;
    int name_claims_ = 0;
    bool left_ = false;
};

}  // namespace tideline::cluster
