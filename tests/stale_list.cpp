// Incident 27: what a sidecar may still send once its list of pods can't be confirmed. The program runs as a
// process of its own; the register is a stand-in that refuses every call, as one does that has too many.
#include "socket_rig.hpp"

namespace tideline::net {
namespace {

constexpr Seconds kToldWithin = 6;  // s: by then a change counts as told, whether or not it was read
constexpr Seconds kGrace = 0.5;     // s: the drain grace of the rig's settings

// Refuses the calls for the list that come until then.
void refuse_calls(Rig& rig, double until) {
    while (now() < until)
        if (Peer call = rig.list.take(std::max(0.0, std::min(0.05, until - now())))) {
            call.upto("\r\n\r\n");
            call.send(whole_answer(503, "busy"));
        }
}
// One invocation, answered by the pod on a connection that is new to it.
std::string served_anew(Rig& rig, Peer& client) {
    client.send(invocation());
    Peer pod = rig.pod();
    if (pod.message().first != 'Q') return "no statement";
    pod.send(served("1"));
    return client.answer();
}

}  // namespace

TEST_CASE("a list that can't be confirmed is not acted on once a change would count as told") {
    Rig rig(1);
    rig.begin();
    Peer client = rig.client();
    rig.watch.send(chunk("\n"));  // nothing has changed
    rest(0.1);
    rig.watch.close();
    const double lost = now();
    refuse_calls(rig, lost + 3);
    CHECK(served_anew(rig, client) == "1");  // nothing counts as told yet
    refuse_calls(rig, lost + kToldWithin + kGrace);
    // The pod that was listed has left meanwhile; what is there now is another.
    client.send(invocation());
    CHECK(client.answer(kQuiet) == "!53300");
    CHECK_FALSE(rig.pod(kQuiet));
}

TEST_CASE("the copy of the list that a process starts with is good for no longer than the grace") {
    Rig rig(1);
    rig.start();
    const double started = now();
    Peer client = rig.client();
    client.send(pg::query(""));
    CHECK(client.answer() == "empty");  // it is ready all the same
    refuse_calls(rig, started + kGrace + 0.5);
    client.send(invocation());
    CHECK(client.answer(kQuiet) == "!53300");
    CHECK_FALSE(rig.pod(kQuiet));
    Peer watch = rig.list.take();
    watch.upto("\r\n\r\n");
    watch.send(kStream + chunk("\n"));  // nothing has changed
    rest(0.1);
    CHECK(served_anew(rig, client) == "1");
}

}  // namespace tideline::net
