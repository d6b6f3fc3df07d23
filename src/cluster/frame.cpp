#include "cluster/frame.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace tideline::cluster {
namespace {

constexpr std::string_view kMagic = "TLF1";

std::string encode_number(std::uint64_t value, std::size_t bytes) {
    std::string text;
    for (std::size_t i = 0; i < bytes; ++i) {
        text += static_cast<char>(value >> (8 * i) & 0xff);
    }
    return text;
}
std::uint64_t decode_number(std::string_view bytes) {
    std::uint64_t value = 0;
    for (std::size_t i = bytes.size(); i-- > 0;) {
        value = value << 8 | static_cast<unsigned char>(bytes[i]);
    }
    return value;
}
// The checksum covers the length: otherwise a frame with a damaged length could contain a body that
// matches its checksum.
std::uint64_t checksum_of(std::string_view body) {
    return XXH3_64bits_withSeed(body.data(), body.size(), 0x746c6631U + body.size());
}

}  // namespace

std::string encode_frame(std::string_view body) {
    std::string frame(kMagic);
    frame += encode_number(body.size(), 4);
    frame += encode_number(checksum_of(body), 8);
    frame += body;
    return frame;
}

FrameRead decode_frame(std::string_view bytes, std::size_t max_body_bytes, std::string_view& body,
                       std::size_t& frame_bytes, std::string& error) {
    const std::string_view prefix = bytes.substr(0, kMagic.size());
    if (prefix != kMagic.substr(0, prefix.size())) {
        error = "no frame: it does not begin with \"TLF1\"";
        return FrameRead::bad;
    }
    if (bytes.size() < 8) {
        return FrameRead::more;
    }
    const std::uint64_t length = decode_number(bytes.substr(4, 4));
    // A damaged or malicious length would otherwise make the reader wait for ever or exhaust
    // memory.
    if (length > max_body_bytes) {
        error = "a frame of " + std::to_string(length) + " bytes, " +
                std::to_string(max_body_bytes) + " at most";
        return FrameRead::bad;
    }
    if (bytes.size() < kFrameHeaderBytes + length) {
        return FrameRead::more;
    }
    body = bytes.substr(kFrameHeaderBytes, length);
    frame_bytes = kFrameHeaderBytes + length;
    if (checksum_of(body) == decode_number(bytes.substr(8, 8))) {
        return FrameRead::whole;
    }
    error = "a frame whose checksum is wrong";
    return FrameRead::bad;
}

}  // namespace tideline::cluster
