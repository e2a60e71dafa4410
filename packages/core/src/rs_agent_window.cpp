#include <radishspread/core/internal/rs_agent_window.hpp>

namespace radishspread::agent_internal {

namespace {

std::uint64_t bit_of(request_window const& window, request_id id) {
    return std::uint64_t{1} << (window.highest - id);
}

} // namespace

window_position position_of(request_window const& window, request_id id) {
    if (id > window.highest)
        return window_position::fresh;
    if (window.highest - id >= window_size)
        return window_position::stale;
    bool const is_taken = (window.taken & bit_of(window, id)) != 0;
    return is_taken ? window_position::taken : window_position::fresh;
}

void take(request_window& window, request_id id) {
    if (id > window.highest) {
        auto const shift = id - window.highest;
        window.taken = shift < window_size ? window.taken << shift : 0;
        window.highest = id;
    }
    window.taken |= bit_of(window, id);
}

void release(request_window& window, request_id id) {
    if (position_of(window, id) == window_position::taken)
        window.taken &= ~bit_of(window, id);
}

} // namespace radishspread::agent_internal
