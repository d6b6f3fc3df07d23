// Fuzz test of the frame reader and the message decoder with arbitrary bytes. A fuzzer calls
// LLVMFuzzerTestOneInput. Without one, main() applies seeded damage to valid frames for a limited
// time: fuzz_frames SECONDS [SEED].
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>

#include "cluster/frame.hpp"
#include "cluster/message_codec.hpp"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
    using namespace tideline::cluster;
    std::string_view unread(reinterpret_cast<const char*>(data), size);
    for (;;) {
        std::string_view body;
        std::size_t frame_bytes = 0;
        std::string error;
        const FrameRead read = decode_frame(unread, 65536, body, frame_bytes, error);
        if (read == FrameRead::bad && error.empty()) {
            std::abort();
        }
        if (read != FrameRead::whole) {
            return 0;
        }
        if (frame_bytes > unread.size() || body.size() + kFrameHeaderBytes != frame_bytes) {
            std::abort();
        }
        tideline::wire::Word message;
        if (decode_message(body, message)) {
            gossip_from(message.ping().gossip());
            if (message.has_record()) {
                (void)tideline::audit::find_record_fault(record_from(message.record()));
            }
        }
        unread.remove_prefix(frame_bytes);
    }
}

#ifndef TIDELINE_FUZZER
int main(int argc, char** argv) {
    using namespace tideline;
    const double seconds = argc > 1 ? std::atof(argv[1]) : 5;
    const auto seed = static_cast<std::uint32_t>(argc > 2 ? std::atoi(argv[2]) : 1);
    std::ranlux24_base engine(seed);
    const auto draw_below = [&](std::size_t bound) { return engine() % bound; };
    const auto end = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    long runs = 0;
    for (; std::chrono::steady_clock::now() < end; ++runs) {
        std::string bytes;
        for (std::size_t i = draw_below(3) + 1; i > 0; --i) {
            wire::Word message;
            cluster::Entry entry;
            entry.name = cluster::Name{std::string(draw_below(20) + 1, 'n')};
            entry.incarnation = cluster::Incarnation{engine()};
            cluster::put(cluster::Gossip(draw_below(5), entry),
                         *message.mutable_ping()->mutable_gossip());
            if (draw_below(3) == 0) {
                message.mutable_record()->add_epochs()->set_cap(0.5);
            }
            std::string body = message.SerializeAsString();
            // Damage under a valid checksum reaches the message decoder; damage to the frame
            // reaches the frame reader.
            if (!body.empty() && draw_below(2)) {
                body[draw_below(body.size())] = static_cast<char>(engine());
            }
            bytes += cluster::encode_frame(body);
        }
        for (std::size_t i = draw_below(4); i > 0; --i) {
            bytes[draw_below(bytes.size())] = static_cast<char>(engine());
        }
        bytes.resize(draw_below(bytes.size() + 1));
        LLVMFuzzerTestOneInput(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size());
    }
    std::printf("fuzz_frames: seed %u, %ld inputs in %.0f s, no fault\n", seed, runs, seconds);
}
#endif
