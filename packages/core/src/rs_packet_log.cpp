#include <radishspread/core/rs_packet_log.hpp>

#include <radishspread/core/rs_packet_events.hpp>

namespace radishspread {

namespace {

/// Bits of the value of a `member_changed` event.
constexpr std::int64_t draining_bit = 1;
constexpr std::int64_t cold_bit = 2;
constexpr std::int64_t gone_bit = 4;

std::int64_t state_of(backend_announcement const& it) {
    return (it.is_draining ? draining_bit : 0) |
           (it.warmup_left > duration{0} ? cold_bit : 0);
}

} // namespace

packet_log describe(fleet_change const& change) {
    packet_log out{.number = packet_event::member_changed,
        .value = gone_bit,
        .text = change.name,
        .item = change.version()};
    if (auto const* it = std::get_if<route_set>(&change.content)) {
        out.number = packet_event::routes_applied;
        out.version = it->version;
        out.value = static_cast<std::int64_t>(it->routes.size());
    } else if (auto const* backend =
                   std::get_if<backend_announcement>(&change.content)) {
        out.peer = backend->backend;
        out.value = state_of(*backend);
    } else if (std::get_if<domain_taken_out>(&change.content) != nullptr) {
        out.number = packet_event::domain_changed;
        out.value = 1;
    }
    return out;
}

} // namespace radishspread
