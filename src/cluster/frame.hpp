// Framing of the messages between members: a header of 16 bytes, then the body. Operates on bytes
// only, without sockets. The header holds the magic "TLF1", the length of the body in 4 bytes and
// its XXH3 checksum in 8 bytes, both little-endian.
#pragma once

#include <string>
#include <string_view>

namespace tideline::cluster {

constexpr std::size_t kFrameHeaderBytes = 16;

enum class FrameRead {
    whole,
    more,  // more bytes are needed to complete the frame
    bad,   // not a frame, too long or damaged: the bytes that follow cannot be read
};

std::string encode_frame(std::string_view body);
// Reads the first frame of `bytes`. If it is whole, sets `body`, which points into `bytes`, and
// `frame_bytes`, the size of the frame. If it is bad, sets `error`. `max_body_bytes` is the longest
// body that is accepted.
FrameRead decode_frame(std::string_view bytes, std::size_t max_body_bytes, std::string_view& body,
                       std::size_t& frame_bytes, std::string& error);

}  // namespace tideline::cluster
