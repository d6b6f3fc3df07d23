// Versions of the state that members act on, identified by rank and content.
#pragma once

#include <array>
#include <cstdint>

namespace tideline::audit {

enum class VersionPart {
    list,     // the endpoint list
    release,  // the release status
};
inline constexpr std::array kVersionParts = {VersionPart::list, VersionPart::release};

// Identifies a version of the endpoint list or the release status: its rank in the order of its
// source, and a digest of its content.
struct ContentVersion {
    std::uint64_t rank = 0;
    std::uint64_t digest = 0;
    bool operator==(const ContentVersion&) const = default;
};

}  // namespace tideline::audit
