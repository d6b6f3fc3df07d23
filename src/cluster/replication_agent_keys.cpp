#include "cluster/replication_agent_keys.hpp"

#include <sodium.h>

#include <string>

namespace tideline::cluster {

using replication::Key;

Key key_of(std::initializer_list<std::string_view> parts) {
    crypto_generichash_state state;
    Key key;
    crypto_generichash_init(&state, nullptr, 0, sizeof key.value);
    for (const std::string_view part : parts) {
        const std::uint64_t size = part.size();
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(&size),
                                  sizeof size);
        crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                                  part.size());
    }
    crypto_generichash_final(&state, reinterpret_cast<unsigned char*>(key.value.data()),
                             sizeof key.value);
    return key;
}

Key key_of_epoch(const Name& member, std::uint64_t incarnation, std::uint64_t number) {
    return key_of({"epoch", member.value, std::to_string(incarnation), std::to_string(number)});
}

Key key_of_seals(const Name& member) {
    return key_of({"seals", member.value});
}

}  // namespace tideline::cluster
