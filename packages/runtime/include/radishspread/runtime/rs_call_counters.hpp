#ifndef RADISHSPREAD_RUNTIME_RS_CALL_COUNTERS_HPP
#define RADISHSPREAD_RUNTIME_RS_CALL_COUNTERS_HPP

#include <radishspread/runtime/rs_metrics.hpp>

#include <array>
#include <cstddef>

namespace radishspread::runtime {

/// Kind of a call that reads items.
enum class call_kind { read, watch, peer };

/// How a call ended; a cancelled one has no result.
enum class call_result { ok, refused, failed, timed_out };

/// Counts the calls to the configuration service and to peers in the metrics.
class call_counters {
public:
    explicit call_counters(metrics& out);

    void count_start(call_kind kind) { starts_[index_of(kind)]->add(); }
    void count_end(call_kind kind, call_result result) {
        ends_[index_of(kind)][static_cast<std::size_t>(result)]->add();
    }

private:
    static constexpr std::size_t kinds = 3;
    static constexpr std::size_t results = 4;

    static std::size_t index_of(call_kind kind) {
        return static_cast<std::size_t>(kind);
    }

    std::array<counter*, kinds> starts_{};
    std::array<std::array<counter*, results>, kinds> ends_{};
};

} // namespace radishspread::runtime

#endif
