// Records the answers that endpoints give several times in a row, to tell them from duplicates of
// one answer.
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string_view>

namespace tideline::net {

// Digest of an answer, for comparison with other answers.
using AnswerDigest = std::uint64_t;
AnswerDigest digest_of(std::string_view answer);

// Remembers a limited number of answers and forgets the oldest first. Not thread-safe.
class RepeatedAnswers {
  public:
    // Records an answer that was received twice in a row and was no duplicate.
    void add(AnswerDigest digest);
    bool contains(AnswerDigest digest) const {
        return digests_.contains(digest);
    }

  private:
    std::set<AnswerDigest> digests_;
    std::deque<AnswerDigest> oldest_first_;
};

}  // namespace tideline::net
