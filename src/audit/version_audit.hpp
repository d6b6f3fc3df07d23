// The version audit: determines which members act on the current endpoint list and release status
// and which lag. It requests state transfers for this member, excludes members that lag, and
// restricts the trial participation of this member (docs/cluster.md). It performs no I/O and reads
// no clock: each call carries the time in seconds, which never decreases, and acts through
// VersionAuditHost before it returns.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "audit/adopted_versions.hpp"
#include "audit/content_version.hpp"
#include "audit/peer_versions.hpp"
#include "cluster/types.hpp"

namespace tideline::audit {

using cluster::Incarnation;
using cluster::Name;
using cluster::Version;

enum class VersionStatus { current, behind, straggler, excluded, unheard };

class VersionAuditHost {
  public:
    virtual ~VersionAuditHost() = default;
    // Asks the member for a message of its own, which carries its versions.
    virtual void request_versions(const Name& of) = 0;
    // Asks the member for the content of the part, which this member lacks.
    virtual void request_transfer(const Name& from, VersionPart part) = 0;
    virtual void request_confirmation(const Name& of, VersionPart part,
                                      const ContentVersion& version) = 0;
    // Makes the sidecar act on the transferred content.
    virtual void apply_version(VersionPart part, const ContentVersion& version) = 0;
    // Notifies the member that it is excluded.
    virtual void notify_excluded(const Name& name) = 0;
    // Gossips to all members that the member is excluded or readmitted.
    virtual void gossip_exclusion(const Name& name, const Incarnation& incarnation,
                                  bool excluded) = 0;
    // Passes the trial participation of this member to its routing policy.
    virtual void trial_participation(TrialParticipation trial_participation) = 0;
    virtual void raise_audit_alarm(const std::string& text) = 0;
};

// Times are in seconds. All settings can change at run time.
struct VersionAuditSettings {
    int witnesses = 3;  // members that must act on a version before it is required of all
    // Time that a member may be behind the required version without consequences.
    Seconds grace = 5;
    Seconds exclude_after = 10;  // further time before a lagging member is excluded
    // Without messages from enough members for this long, a member cannot tell which version is
    // current.
    Seconds uncertain_after = 10;
    double max_excluded_share = 0.25;  // share of all members that may be excluded or gone
};

class VersionAudit {
  public:
    VersionAudit(VersionAuditHost& host, const VersionAuditSettings& settings, Name self,
                 Seconds now);
    // Copies the state under another host, for model checking.
    VersionAudit(const VersionAudit& other, VersionAuditHost& host);

    // This member acts on that version now, whether its own source or a transfer provided it.
    void set_own_version(Seconds now, VersionPart part, const ContentVersion& version);
    // Handles a message of the member itself, which reports the versions that it acts on.
    void on_peer_version(Seconds now, const Name& name, const Incarnation& incarnation,
                         const ContentVersion& list, const ContentVersion& release);
    // Handles a gossiped entry: the state of a member, and lower bounds of the versions that it
    // acts on.
    void on_gossip(Seconds now, const cluster::Entry& entry);
    void remove_peer(const Name& name) {
        peers_.remove(name);
    }
    void transfer_received(Seconds now, const Name& by, VersionPart part,
                           const ContentVersion& version);
    void confirmation_received(Seconds now, const Name& by, VersionPart part,
                               const ContentVersion& version, bool yes);
    // Handles gossip that this member is excluded or readmitted.
    void on_own_exclusion(Seconds now, bool excluded);
    // Handles a message of a member that refuses this one as excluded.
    void on_refusal(Seconds now, const Name& by);
    void tick(Seconds now);
    // Replaces the settings after a reload.
    void set_settings(const VersionAuditSettings& settings) {
        settings_ = settings;
    }

    // Returns whether this member has acted on exactly that content.
    bool confirms(VersionPart part, const ContentVersion& version) const;
    std::uint64_t required_rank(VersionPart part) const {
        return peers_.required(part);
    }
    VersionStatus status_of(Seconds now, const Name& name) const;
    Seconds behind_for(Seconds now, const Name& name) const;
    TrialParticipation trial_participation() const {
        return trial_participation_;
    }
    // Returns the rank of the endpoint list that this member acts on.
    std::uint64_t own_list_rank() const {
        return rank(VersionPart::list);
    }
    // Returns the complete state as text, equal for equal states; for model checking and debugging.
    std::string state() const;
    // Returns the members that are excluded by a ruling and lag according to their own messages.
    std::vector<Name> excluded_members() const;

  private:
    // Transferred content that waits for confirmation by other members.
    struct Transfer {
        ContentVersion version;
        std::set<Name> confirmed_by;
        Seconds received = 0;
    };
    // Returns the rank of the version that this member acts on.
    std::uint64_t rank(VersionPart part) const;
    bool self_behind(VersionPart part) const {
        return rank(part) < peers_.required(part);
    }
    bool self_behind() const {
        return self_behind(VersionPart::list) || self_behind(VersionPart::release);
    }
    // Returns whether this member has been behind for longer than the grace.
    bool is_self_overdue(Seconds now, VersionPart part) const;
    bool is_excluded(const Name& name) const;
    void raise_required(Seconds now);
    void request_transfers(Seconds now);
    void request_transfer(Seconds now, VersionPart part);
    void review_peers(Seconds now);
    void ask_next_peer(Seconds now, Seconds fresh_since);
    void readmit_current(Seconds now, Seconds fresh_since, std::size_t order);
    void exclude_lagging(Seconds now, Seconds fresh_since, std::size_t order);
    void exclude_member(Seconds now, const Name& name, Seconds behind_since);
    bool proven_current(const PeerVersion& peer) const;
    void review_participation(Seconds now);
    TrialParticipation decide_participation(Seconds now) const;

    VersionAuditHost* host_;
    VersionAuditSettings settings_;
    Name self_;
    Seconds start_;
    Seconds now_;
    PeerVersions peers_;
    std::map<VersionPart, AdoptedVersions> adopted_;
    std::map<VersionPart, Seconds> self_behind_since_;
    std::map<VersionPart, Transfer> transfers_;
    std::map<VersionPart, Seconds> requested_at_;
    std::map<Name, Seconds> refusals_;
    // Number of transfers requested so far. It selects the member to ask, so that each request goes
    // to another one.
    std::size_t transfer_request_count_ = 0;
    Seconds peer_asked_at_ = PeerVersion::kNever;
    bool excluded_by_ruling_ = false;  // this member is excluded by a ruling of another
    // The alarm that the limit of exclusions is reached has been raised.
    bool limit_alarm_raised_ = false;
    TrialParticipation trial_participation_ = TrialParticipation::open;
};

}  // namespace tideline::audit
