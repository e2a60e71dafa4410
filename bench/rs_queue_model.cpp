#include <bench/rs_queue_model.hpp>

#include <fakes/rs_event_queue.hpp>
#include <radishspread/core/rs_candidate_selection.hpp>

#include <algorithm>
#include <numeric>
#include <random>

namespace radishspread::bench {

namespace {

/// Simulation of backend servers with queues, in virtual time.
class queue_model {
public:
    queue_model(queue_model_options const& options, placement policy)
        : options_(options), policy_(policy), random_(options.seed),
          requests_(options.slots.size()) {
        for (std::size_t i = 0; i < options.slots.size(); ++i) {
            auto const id = static_cast<backend_id>(i + 1);
            table_.add({.id = id, .slots = options.slots[i]});
        }
        auto const total = std::accumulate(
            options.slots.begin(), options.slots.end(), std::uint64_t{0});
        auto const run_time = static_cast<double>(options.run_time.count());
        rate_ = options.load * static_cast<double>(total) / run_time;
    }

    occupancy_samples run() {
        arrive();
        queue_.at(instant(options_.begin), [this] { sample(); });
        queue_.run_until(instant(options_.end));
        return std::move(samples_);
    }

private:
    void arrive() {
        std::exponential_distribution<double> interarrival(rate_);
        auto const wait = static_cast<duration::rep>(interarrival(random_));
        queue_.after(duration(wait), [this] {
            auto const at = select_backend();
            if (requests_[at]++ < options_.slots[at])
                start_run(at);
            arrive();
        });
    }

    std::size_t select_backend() {
        auto const hash = random_();
        if (policy_ == placement::modulo)
            return hash % requests_.size();
        if (policy_ == placement::stable)
            return table_.select(hash, 0).front().id - 1;
        auto const load = [&](std::size_t i) {
            return static_cast<double>(requests_[i]) / options_.slots[i];
        };
        auto best = hash % requests_.size(); // Ties are broken at random.
        for (std::size_t n = 1; n < requests_.size(); ++n) {
            auto const i = (hash + n) % requests_.size();
            if (load(i) < load(best))
                best = i;
        }
        return best;
    }

    void start_run(std::size_t at) {
        std::uniform_real_distribution<double> factor(0.7, 1.3);
        auto const time =
            static_cast<double>(options_.run_time.count()) * factor(random_);
        queue_.after(duration(static_cast<duration::rep>(time)), [this, at] {
            if (--requests_[at] >= options_.slots[at])
                start_run(at);
        });
    }

    void sample() {
        std::vector<std::uint32_t> occupied;
        for (std::size_t i = 0; i < requests_.size(); ++i)
            occupied.push_back(std::min(requests_[i], options_.slots[i]));
        samples_.push_back(std::move(occupied));
        queue_.after(options_.sample_interval, [this] { sample(); });
    }

    queue_model_options options_;
    placement policy_;
    std::mt19937_64 random_;
    fakes::event_queue queue_;
    candidate_table table_;
    std::vector<std::uint32_t> requests_; ///< Running and queued.
    occupancy_samples samples_;
    double rate_ = 0; ///< Arrivals per unit of `duration`.
};

} // namespace

occupancy_samples run_queue_model(
    queue_model_options const& options, placement policy) {
    return queue_model(options, policy).run();
}

} // namespace radishspread::bench
