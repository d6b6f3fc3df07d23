#include "net/repeated_answers.hpp"

#include <functional>

namespace tideline::net {
namespace {

// Maximum number of answers that are remembered.
constexpr std::size_t kMaxRememberedAnswers = 1024;

}  // namespace

AnswerDigest digest_of(std::string_view answer) {
    return std::hash<std::string_view>{}(answer);
}

void RepeatedAnswers::add(AnswerDigest digest) {
    if (!digests_.insert(digest).second) {
        return;
    }
    oldest_first_.push_back(digest);
    if (oldest_first_.size() > kMaxRememberedAnswers) {
        digests_.erase(oldest_first_.front());
        oldest_first_.pop_front();
    }
}

}  // namespace tideline::net
