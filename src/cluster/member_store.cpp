#include "cluster/member_store.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "cluster.pb.h"
#include "cluster/frame.hpp"
#include "cluster/message_codec.hpp"

namespace tideline::cluster {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

// About 20,000 epochs. A full file replaces the older one, and a new file is begun.
constexpr std::size_t kMaxEpochFileBytes = 4 * 1024 * 1024;

}  // namespace

MemberStore::MemberStore(const std::string& folder, const Name& name, std::uint64_t fresh_disk,
                         Seconds now)
    : folder_(folder), name_(name), incarnation_{static_cast<std::uint64_t>(now * 1e3)} {
    if (folder_.empty()) {
        return;
    }
    std::error_code error;
    fs::create_directories(folder_, error);
    if (!fs::is_directory(folder_)) {
        throw std::runtime_error("folder " + folder_ + ": is not a directory that can be used");
    }
    const std::string path = folder_ + "/member";
    disk_ = Disk{fresh_disk};
    if (std::ifstream file(path); file) {
        const json stored = json::parse(file, nullptr, false);
        const bool valid = stored.is_object() && stored.contains("member") &&
                           stored["member"].is_string() && stored.contains("disk") &&
                           stored["disk"].is_number_unsigned() && stored.contains("life") &&
                           stored["life"].is_number_unsigned();
        // Two members that share a folder would each continue the incarnation of the other.
        if (valid && stored["member"] != name_.value) {
            throw std::runtime_error(folder_ + " belongs to member " +
                                     stored["member"].get<std::string>());
        }
        if (valid) {
            disk_ = Disk{stored["disk"].get<std::uint64_t>()};
            incarnation_ =
                Incarnation{std::max(incarnation_.value, stored["life"].get<std::uint64_t>() + 1)};
            read_epochs(name);
        } else {
            damage_ =
                path + " can't be read: starting with a new disk id, as after the loss of a disk";
        }
    }
    // A truncated file could not be read, so a new file is written beside the old one and renamed
    // once it is complete.
    std::ofstream(path + ".new")
        << json{{"member", name_.value}, {"disk", disk_.value}, {"life", incarnation_.value}}.dump()
        << '\n';
    fs::rename(path + ".new", path, error);
    if (error) {
        throw std::runtime_error("can't write " + path + ": " + error.message());
    }
}

void MemberStore::read_epochs(const Name& name) {
    const std::string path = folder_ + "/epochs";
    std::string text;
    for (const char* end : {".old", ""}) {
        if (std::ifstream file(path + end, std::ios::binary); file) {
            text.append(std::istreambuf_iterator<char>(file), {});
        }
    }
    std::string_view unread = text;
    while (!unread.empty()) {
        std::string_view body;
        std::size_t frame_bytes = 0;
        std::string error_text;
        wire::Word message;
        const FrameRead read =
            decode_frame(unread, kMaxEpochFileBytes, body, frame_bytes, error_text);
        if (read == FrameRead::more) {
            damage_ = "the last epoch of " + path + " was cut off: it is left out";
            break;
        }
        if (read == FrameRead::bad || !decode_message(body, message) || !message.has_record() ||
            message.record().epochs_size() != 1 || message.record().name() != name.value) {
            damage_ = path + " is damaged at byte " + std::to_string(text.size() - unread.size()) +
                      ": what follows is left out";
            break;
        }
        root_ = message.record().epochs(0).digest();
        unread.remove_prefix(frame_bytes);
    }
    // Records behind an unreadable part could not be found, so the file is set aside.
    if (!unread.empty()) {
        fs::rename(path, path + ".damaged");
    }
    std::error_code error;
    size_ = fs::exists(path) ? fs::file_size(path, error) : 0;
}

bool MemberStore::append_epoch(const audit::Epoch& epoch) {
    if (folder_.empty()) {
        return true;
    }
    const std::string path = folder_ + "/epochs";
    if (size_ > kMaxEpochFileBytes) {
        std::error_code error;
        fs::rename(path, path + ".old", error);
        size_ = 0;
    }
    audit::Record one;
    one.name = name_;
    one.incarnation = incarnation_;
    one.disk = disk_;
    one.epochs = {epoch};
    wire::Word message;
    put(one, *message.mutable_record());
    const std::string frame = encode_message(message);
    std::ofstream file(path, std::ios::binary | std::ios::app);
    file << frame << std::flush;
    size_ += frame.size();
    return file.good();
}

}  // namespace tideline::cluster
