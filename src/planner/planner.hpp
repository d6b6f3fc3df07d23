// One planner process: joins the log, the register and the lessor to the other planners, to members and to
// its disk; decides nothing itself.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "consensus/enrolment.hpp"
#include "consensus/raft.hpp"
#include "fleet/parley.hpp"
#include "lease/lessor.hpp"
#include "net/log.hpp"
#include "planner/binder.hpp"
#include "planner/vault.hpp"

namespace tideline::planner {

class Planner : consensus::RaftHost, lease::LessorHost, fleet::Parley::Owner {
  public:
    // `founds`: it is the first of a new cluster; its disk must be empty. Throws std::runtime_error.
    Planner(net::Loop& loop, net::Log& log, const Binder& binder, bool founds, std::uint64_t seed);
    ~Planner() override;
    void begin();
    // Why it can't go on; empty while it can. A disk that fails ends it.
    const std::string& broken() const { return broken_; }

  private:
    using Peer = consensus::Peer;
    struct Asked {  // a question that has no answer yet, and whom the answer goes to
        fleet::LinkNo link;
        std::uint64_t no = 0;  // the asker's own
        Seconds at = 0;
    };
    struct Route {  // to a member that asked
        fleet::LinkNo link;
        fleet::Name planner;  // that passed its question on; empty: it asked here
        Seconds at = 0;
    };
    struct Knocker {  // a planner without a seat
        Peer peer;
        std::string address;
        Seconds heard = 0;
    };
    // consensus::RaftHost
    void ask_vote(Peer to, consensus::Reign reign, consensus::LogIndex last, consensus::Reign last_reign,
                  bool rehearsal) override;
    void answer_vote(Peer to, consensus::Reign reign, bool granted, bool rehearsal) override;
    void tell(Peer to, consensus::Reign reign, consensus::LogIndex before, consensus::Reign before_reign,
              const std::vector<consensus::Record>& records, consensus::LogIndex committed,
              consensus::Round round) override;
    void tell_snapshot(Peer to, consensus::Reign reign, const consensus::Snapshot& snapshot,
                       consensus::Round round) override;
    void answer_tell(Peer to, consensus::Reign reign, bool fits, consensus::LogIndex reached,
                     consensus::Round round) override;
    void store(consensus::StoreNo no, const consensus::Storing& what) override;
    void apply(consensus::LogIndex at, const consensus::Record& record) override;
    void restore(const consensus::Snapshot& snapshot) override;
    void note(const std::string& text) override { log_.line("planner: {}", text); }
    // lease::LessorHost
    void propose_take(const lease::LeaseName& lease, const lease::Member& member) override;
    void propose_end(const lease::LeaseName& lease, lease::Fence fence, lease::End how,
                     const std::vector<lease::Member>& absent) override;
    void propose_stop_waiting(const lease::LeaseName& lease, const lease::Member& member) override;
    lease::Confirm confirm() override;
    void answer(lease::AskNo no, lease::Answer what, lease::Fence fence, Seconds span,
                std::size_t before) override;
    void your_turn(const lease::Member& member, const lease::LeaseName& lease, lease::Fence fence) override;
    // Parley::Owner
    void said(fleet::LinkNo link, const wire::Word& word) override;
    void unreachable(const fleet::Name&) override {}
    void parley_said(const std::string& what) override { log_.line("planner: {}", what); }

    Peer self() const { return consensus::peer_of(binder_.name, vault_.disk()); }
    void rise(consensus::Kept kept);
    void found();
    wire::Word word() const;
    void send(Peer to, wire::Word& word, consensus::Reign reign);
    void planning(fleet::LinkNo link, const wire::Word& word);
    void knocked(const fleet::Name& name, const std::string& address, Peer peer, Seconds now);
    void knock();
    void lease_asked(fleet::LinkNo link, const wire::Word& word);
    void serve(Seconds now, lease::AskNo no, const wire::LeaseAsk& ask);
    void reply(const Asked& asked, wire::LeaseAnswer& answer);
    void table(wire::PlannerTable& to) const;
    consensus::LogIndex propose(wire::Command& command);
    void write();   // what is to be on the disk, in one transaction
    void settle();  // after anything happened
    void ring();

    net::Loop& loop_;
    net::Log& log_;
    const Binder binder_;
    Vault vault_;
    lease::Register leases_;
    consensus::Enrolment enrolment_;
    fleet::Parley parley_;
    std::unique_ptr<consensus::Raft> raft_;
    lease::Lessor lessor_;
    consensus::Cluster cluster_;
    consensus::Reign lessor_reign_;
    std::vector<consensus::Storing> to_store_;
    consensus::StoreNo store_no_;
    std::map<lease::AskNo, Asked> asked_;
    std::map<consensus::LogIndex, lease::AskNo> decided_;  // by the record that decides them
    std::map<lease::Member, Route> routes_;
    std::map<Peer, std::pair<fleet::Name, std::string>> met_;  // where they were last heard
    std::map<fleet::Name, Knocker> knockers_;
    std::set<fleet::Name> admitting_;  // proposed by this leader
    std::set<std::string> told_;       // faults that were logged once
    std::uint64_t last_ask_ = 0;
    std::string broken_;
    net::Due::Key ring_ = net::Due::kNone, write_ = net::Due::kNone, round_ = net::Due::kNone,
                  knock_ = net::Due::kNone;
    const bool founds_;
    bool settling_ = false;
};

}  // namespace tideline::planner
