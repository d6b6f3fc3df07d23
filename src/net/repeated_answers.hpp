// Answers that endpoints give more than once in a row, told apart from duplicates of one answer.
#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <string_view>

namespace tideline::net {

// Digest of an answer, to compare it with others.
using AnswerDigest = std::uint64_t;
AnswerDigest digest_of(std::string_view answer);

// Remembers a bounded number of answers, the oldest goes first. One thread.
class RepeatedAnswers {
  public:
    // An answer was seen twice in a row, and the second was no duplicate.
    void add(AnswerDigest digest);
    bool contains(AnswerDigest digest) const {
        return digests_.contains(digest);
    }

  private:
    std::set<AnswerDigest> digests_;
    std::deque<AnswerDigest> oldest_first_;
};

}  // namespace tideline::net
