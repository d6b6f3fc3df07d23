// The names of states as they are shown in answers to operators and in log lines.
#pragma once

#include "audit/version_audit.hpp"
#include "cluster/types.hpp"

namespace tideline::cluster {

inline const char* name_of(audit::VersionStatus status) {
    switch (status) {
        case audit::VersionStatus::current:
            return "current";
        case audit::VersionStatus::behind:
            return "behind";
        case audit::VersionStatus::straggler:
            return "straggler";
        case audit::VersionStatus::excluded:
            return "shut out";
        case audit::VersionStatus::unheard:
            break;
    }
    return "unheard";
}

inline const char* name_of(MemberState state) {
    switch (state) {
        case MemberState::present:
            return "present";
        case MemberState::suspected:
            return "suspected";
        case MemberState::gone:
            return "gone";
        case MemberState::left:
            break;
    }
    return "left";
}

inline const char* name_of(TrialParticipation participation) {
    switch (participation) {
        case TrialParticipation::open:
            return "open";
        case TrialParticipation::first_stage:
            return "first stage only";
        case TrialParticipation::no_trial:
            break;
    }
    return "no trial";
}

}  // namespace tideline::cluster
