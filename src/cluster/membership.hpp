// Cluster membership by gossip: SWIM with suspicion and local health awareness (docs/cluster.md).
// Tracks which members are present, suspected, gone or have left, and their incarnations. The load
// per member does not depend on the size of the cluster. It performs no I/O and reads no clock:
// each call carries the time in seconds, which never decreases, and acts through MembershipHost
// before it returns.
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

// Performs the outgoing actions of the membership. Implementations must not call back into the
// membership.
class MembershipHost {
  public:
    virtual ~MembershipHost() = default;
    virtual void ping(const Name& to, PingId ping_id, const Gossip& gossip) = 0;
    virtual void request_indirect_ping(const Name& helper, PingId ping_id, const Name& target,
                                       const Gossip& gossip) = 0;
    virtual void acknowledge(const Name& to, PingId ping_id, const Gossip& gossip) = 0;
    virtual void report_no_answer(const Name& to, PingId ping_id) = 0;
    // Asks the member that listens at the address, whichever it is, for its table.
    virtual void request_table(const std::string& address) = 0;
    virtual void send_table(const Name& to, const Gossip& part, bool wants_reply) = 0;
    virtual void on_member_changed(const Entry& entry, MemberState before,
                                   bool new_incarnation) = 0;
    virtual void raise_membership_alarm(const std::string& text) = 0;
};

// Times are in seconds, all above 0. They can change at run time.
struct MembershipSettings {
    Seconds period = 1;         // interval between two pings
    Seconds answer_wait = 0.3;  // time-out of a direct ping, at most half of the period
    // Interval between two requests for a table, to a member that is gone or a seed that was not
    // met yet.
    Seconds regain_every = 5;
    Seconds remember = 86400;  // how long members that are gone or have left are remembered
};

class Membership {
  public:
    Membership(MembershipHost& host, const MembershipSettings& settings, Entry self,
               std::vector<std::string> seeds, std::uint64_t seed, Seconds now);
    // Copies the state under another host, for model checking.
    Membership(const Membership& other, MembershipHost& host) : Membership(other) {
        host_ = &host;
    }

    // Returns when tick() is to be called next.
    Seconds due() const {
        return due_;
    }
    void tick(Seconds now);

    // Handle received messages. `from` is the sender's own entry.
    void ping_received(Seconds now, const Entry& from, PingId ping_id, const Gossip& gossip);
    void indirect_ping_requested(Seconds now, const Entry& from, PingId ping_id, const Name& target,
                                 const Gossip& gossip);
    void answered(Seconds now, const Entry& from, PingId ping_id, const Gossip& gossip);
    void no_answer_reported(Seconds now, const Entry& from, PingId ping_id) {
        merge_sender_entry(now, from);
        detector_.on_no_answer(ping_id);
    }
    void table_requested(Seconds now, const Entry& from);
    void table_received(Seconds now, const Entry& from, const Gossip& part, bool wants_reply);
    // A connection to the member was refused or broke.
    void unreachable(Seconds now, const Name& name);

    // Sets the versions that this member acts on.
    void set_own_versions(Seconds, const Version& version) {
        self_.version = version;
    }
    // Rules that the member is excluded or readmitted.
    void rule_on_exclusion(Seconds now, const Name& name, const Incarnation& incarnation,
                           bool excluded);
    void leave(Seconds now);
    // Replaces the settings after a reload.
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
    // Returns the number of other members that are present or suspected.
    std::size_t present() const {
        return table_.present();
    }
    std::optional<Entry> find(const Name& name) const;
    // Returns the local health score; 0 means that this member shows no sign of being slow.
    int health() const {
        return detector_.health();
    }
    // Returns how often another process has claimed this member's name.
    int name_claims() const {
        return name_claims_;
    }

  private:
    // Gossip
    void merge_sender_entry(Seconds now, const Entry& sender);
    void merge_gossip(Seconds now, const Gossip& gossip, const Name& gossiper);
    void merge(Seconds now, const Entry& gossip_entry, const Name& gossiper, bool from_table);
    void merge_new(Seconds now, const Entry& gossip_entry, bool from_table);
    void merge_self(const Entry& gossip_entry);
    void store_entry(Seconds now, const Entry& entry, bool gossiped = true);
    Gossip gossip_for(const Name& to) {
        return dissemination_.entries_for(to, self_, table_, gossip_cutoff(due_));
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
    void send_table(Seconds now, const Name& to, bool wants_reply);
    void forget_old(Seconds now);

    void update_due();
    // Returns a time: the entries of members that have been gone since before it are no longer
    // gossiped.
    Seconds gossip_cutoff(Seconds now) const {
        return now - settings_.remember * kGossipedFraction;
    }

    // Fraction of the time that a gone member is remembered, during which its entry is gossiped. If
    // members gossiped the entry until they forget it, it would circulate for ever.
    static constexpr double kGossipedFraction = 0.5;

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
