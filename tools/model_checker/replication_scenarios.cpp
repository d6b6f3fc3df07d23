// The scenarios of the replication model.

#include "model_checker/replication_model.hpp"

namespace tideline::model_checker {

std::vector<ReplicationScenario> replication_scenarios() {
    return {
        {"two claim",
         "two members may claim the same key",
         2,
         {"settle"},
         {2, 0, 0, 1, 0, 0, 1, 0},
         10},
        {"home dies",
         "n3 has claimed, and the primary n1 may crash",
         2,
         {"settle", "n3 receives the non-idempotent request", "settle but n1"},
         {1, 1, 0, 0, 2, 0, 1, 0},
         10},
        {"home lost",
         "the primary n1 lost its disk after a claim of n3 was granted",
         2,
         {"settle", "n3 receives the non-idempotent request", "settle", "n1 crashes", "n1 is wiped",
          "n1 starts", "settle"},
         {1, 0, 0, 0, 4, 0, 1, 0},
         12},
        {"copy lost",
         "the backup n2 has crashed and lost its disk while n3 claims",
         2,
         {"settle", "n3 receives the non-idempotent request", "settle but n1 n2", "n2 crashes",
          "n2 is wiped"},
         {1, 0, 0, 0, 3, 0, 1, 0},
         11},
        {"deposed",
         "n3 regards the primary n1 as gone while a claim is in flight to the backup",
         2,
         {"settle", "n1 receives the non-idempotent request", "settle but n2",
          "n3 regards n1 as gone"},
         {1, 0, 0, 0, 2, 1, 0, 0},
         11},
        {"restart",
         "the primary n1 may restart while it has not stored a claim",
         2,
         {"settle", "n2 receives the idempotent request", "settle but n1"},
         {1, 1, 0, 1, 0, 0, 1, 0},
         11},
        {"claimant taken for gone",
         "the claim of n3 is granted, and n2 regards n3 as gone before n3 receives the answer",
         2,
         {"settle", "n3 receives the idempotent request", "settle but n3", "n2 regards n3 as gone"},
         {1, 0, 0, 0, 0, 1, 1, 1},
         10},
        {"three copies",
         "three replicas, and the primary may crash",
         3,
         {"settle", "n2 receives the non-idempotent request", "settle but n1"},
         {1, 1, 1, 0, 2, 0, 0, 0},
         9},
    };
}

}  // namespace tideline::model_checker
