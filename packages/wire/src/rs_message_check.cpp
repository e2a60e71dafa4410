#include <radishspread/wire/internal/rs_message_check.hpp>
#include <radishspread/wire/rs_wire_error.hpp>
#include <radishspread/wire/rs_wire_limits.hpp>

#include <algorithm>

namespace radishspread::wire::internal {

namespace {

constexpr std::uint16_t min_status = 100;
constexpr std::uint16_t max_status = 599;

/// Maximum deadline; the schema stores milliseconds in 32 bits.
constexpr std::chrono::milliseconds max_deadline{0xffffffff};

std::error_code out_of_range_unless(bool condition) {
    if (condition)
        return {};
    return wire_error::out_of_range;
}

bool is_valid(stamp const& it) {
    return it.sender.is_set();
}

bool is_valid(flow_key const& it) {
    return it.service != 0 && it.caller.is_set();
}

bool is_valid(candidate const& it) {
    return it.id != 0 && it.agent.is_set() && it.domain <= max_domain_id;
}

bool is_valid(std::optional<route_cookie> const& it) {
    return !it || it->domain <= max_domain_id;
}

bool is_valid(digest_entry const& it) {
    return !it.name.empty() && it.name.size() <= max_section_name;
}

bool is_valid(request_window const& it) {
    return it.highest != 0 || it.taken == 0;
}

/// Request ids start at 1. An opening has neither a request id nor a payload.
bool has_valid_request_fields(caller_packet const& it) {
    switch (it.kind) {
    case packet_kind::open:
        return it.request == 0 && it.payload.empty();
    case packet_kind::request:
    case packet_kind::cancel:
        return it.request != 0;
    default:
        return true;
    }
}

bool has_required_fields(caller_reply const& it) {
    switch (it.kind) {
    case reply_kind::opened:
    case reply_kind::moved:
        return it.cookie.has_value();
    case reply_kind::answer:
        return it.request != 0;
    default:
        return true;
    }
}

bool has_valid_status(caller_reply const& it) {
    return it.status == 0 ||
           (it.status >= min_status && it.status <= max_status);
}

bool has_valid_part(caller_reply const& it) {
    return it.total <= max_answer_size && it.payload.size() <= max_payload &&
           it.offset <= it.total && it.payload.size() <= it.total - it.offset;
}

bool has_valid_index(forward const& it) {
    return it.least_index == 0 || it.least_index < it.candidates.size();
}

} // namespace

std::error_code check(caller_packet const& it) {
    if (it.kind > packet_kind::close)
        return wire_error::unknown_kind;
    return out_of_range_unless(
        it.service != 0 && it.payload.size() <= max_payload &&
        it.received <= max_answer_size && it.deadline.count() >= 0 &&
        it.deadline <= max_deadline && is_valid(it.cookie) &&
        has_valid_request_fields(it));
}

std::error_code check(caller_reply const& it) {
    bool const is_known = it.kind <= reply_kind::moved &&
                          it.outcome <= outcome::unknown &&
                          it.reason <= reason::cancelled;
    if (!is_known)
        return wire_error::unknown_kind;
    return out_of_range_unless(it.service != 0 && is_valid(it.cookie) &&
                               has_required_fields(it) &&
                               has_valid_status(it) && has_valid_part(it));
}

std::error_code check(forward const& it) {
    bool const is_in_range =
        is_valid(it.origin) && it.caller.is_set() && it.reply_to.is_set() &&
        it.passes <= max_passes && has_valid_index(it) &&
        std::ranges::all_of(
            it.candidates, [](auto const& each) { return is_valid(each); });
    if (!is_in_range)
        return wire_error::out_of_range;
    return check(it.packet);
}

std::error_code check(deliver const& it) {
    if (!is_valid(it.origin) || !it.caller.is_set())
        return wire_error::out_of_range;
    return check(it.reply);
}

std::error_code check(peer_digest const& it) {
    return out_of_range_unless(
        is_valid(it.origin) &&
        std::ranges::all_of(
            it.entries, [](auto const& each) { return is_valid(each); }));
}

std::error_code check(handover const& it) {
    return out_of_range_unless(
        is_valid(it.origin) && is_valid(it.flow) && is_valid(it.window));
}

std::error_code check(handover_reply const& it) {
    if (it.reason > reason::cancelled)
        return wire_error::unknown_kind;
    return out_of_range_unless(
        is_valid(it.origin) && is_valid(it.flow) && is_valid(it.cookie));
}

} // namespace radishspread::wire::internal
