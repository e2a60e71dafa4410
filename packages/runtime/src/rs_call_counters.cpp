#include <radishspread/runtime/rs_call_counters.hpp>

#include <string>

namespace radishspread::runtime {

namespace {

constexpr std::array<char const*, 3> kind_names{"read", "watch", "peer"};
constexpr std::array<char const*, 4> result_names{
    "ok", "refused", "failed", "timed_out"};

std::string label(char const* name, char const* value) {
    return std::string(name) + "=\"" + value + '"';
}

} // namespace

call_counters::call_counters(metrics& out) {
    for (std::size_t n = 0; n != kinds; ++n) {
        auto const kind = label("kind", kind_names[n]);
        starts_[n] = &out.add_counter("radishspread_calls_total",
            "Calls to the configuration service and to peers.", kind);
        for (std::size_t k = 0; k != results; ++k)
            ends_[n][k] = &out.add_counter("radishspread_call_results_total",
                "Ends of these calls; cancelled ones are not counted.",
                kind + ',' + label("result", result_names[k]));
    }
}

} // namespace radishspread::runtime
