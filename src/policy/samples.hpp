// Containers of samples: a window of the newest values, means of batches, and a sliding time window
// of events.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <vector>

namespace tideline {

// Keeps the newest `max_size` values, oldest first.
template <class Value>
class SlidingWindow {
  public:
    explicit SlidingWindow(std::size_t max_size) : max_size_(max_size) {}
    void add(Value value) {
        kept_.push_back(value);
        if (kept_.size() > max_size_) {
            kept_.pop_front();
        }
    }
    void clear() {
        kept_.clear();
    }
    std::size_t size() const {
        return kept_.size();
    }
    bool empty() const {
        return kept_.empty();
    }
    auto begin() const {
        return kept_.begin();
    }
    auto end() const {
        return kept_.end();
    }
    const Value& operator[](std::size_t i) const {
        return kept_[i];
    }

  private:
    std::size_t max_size_;
    std::deque<Value> kept_;
};

// The value below which the given fraction of the values lies; 0 if there are no values.
template <class Values>
double quantile(const Values& values, double fraction) {
    std::vector<double> sorted(values.begin(), values.end());
    if (sorted.empty()) {
        return 0;
    }
    auto position = sorted.begin() +
                    static_cast<std::ptrdiff_t>(fraction * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), position, sorted.end());
    return *position;
}

// Averages values in batches of a fixed size. Gives the mean of the newest values, and the lowest
// mean among the batches kept.
class BatchedMeans {
  public:
    BatchedMeans(std::size_t batch_size, std::size_t max_batches)
        : newest_(batch_size), means_(max_batches), batch_size_(batch_size) {}
    // Returns whether the value completes a batch.
    bool add(double value) {
        newest_.add(value);
        if (++in_batch_ < batch_size_) {
            return false;
        }
        in_batch_ = 0;
        means_.add(recent_mean());
        return true;
    }
    bool has_batch() const {
        return !means_.empty();
    }
    std::size_t recent_count() const {
        return newest_.size();
    }
    double recent_mean() const {
        double sum = 0;
        for (const double value : newest_) {
            sum += value;
        }
        return newest_.empty() ? 0 : sum / static_cast<double>(newest_.size());
    }
    double min_mean() const {
        return *std::min_element(means_.begin(), means_.end());
    }

  private:
    SlidingWindow<double> newest_;
    SlidingWindow<double> means_;
    std::size_t batch_size_;
    std::size_t in_batch_ = 0;
};

// Times of events, which are added in order.
class EventWindow {
  public:
    void add(double time, double kept_for) {
        kept_.push_back(time);
        while (kept_.front() < time - kept_for) {
            kept_.pop_front();
        }
    }
    // The number of events at this time or later.
    double since(double time) const {
        return static_cast<double>(kept_.end() -
                                   std::lower_bound(kept_.begin(), kept_.end(), time));
    }
    // The number of events later than this time.
    double count_after(double time) const {
        return static_cast<double>(kept_.end() -
                                   std::upper_bound(kept_.begin(), kept_.end(), time));
    }

  private:
    std::deque<double> kept_;
};

}  // namespace tideline
