// Frames between members: a header of 16 bytes, then the body. Works on bytes; knows no socket.
//   "TLF1", the body's length in 4 bytes and its XXH3 checksum in 8, both little-endian
#pragma once

#include <string>
#include <string_view>

namespace tideline::cluster {

constexpr std::size_t kFrameHeaderBytes = 16;  // bytes of the header

enum class FrameRead {
    whole,
    more,  // the frame is not complete yet
    bad,   // not a frame, too long or damaged: nothing behind it can be read
};

std::string frame_of(std::string_view body);
// Reads the first frame of `bytes`. Where it is whole, sets `body`, which points into `bytes`, and
// `whole`, the bytes that the frame takes up; where it is bad, sets `why`. `most`: the longest body
// that is accepted, in bytes.
FrameRead next_frame(std::string_view bytes, std::size_t max_body_bytes, std::string_view& body,
                     std::size_t& frame_bytes, std::string& error);

}  // namespace tideline::cluster
