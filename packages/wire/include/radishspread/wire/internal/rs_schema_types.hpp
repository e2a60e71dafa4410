#ifndef RADISHSPREAD_WIRE_INTERNAL_RS_SCHEMA_TYPES_HPP
#define RADISHSPREAD_WIRE_INTERNAL_RS_SCHEMA_TYPES_HPP

#include <radishspread/core/rs_candidate.hpp>
#include <radishspread/core/rs_flow_key.hpp>
#include <radishspread/core/rs_request_window.hpp>
#include <radishspread/core/rs_route_cookie.hpp>
#include <radishspread/core/rs_stamp.hpp>
#include <radishspread/core/rs_trace_context.hpp>
#include <radishspread/wire/internal/rs_messages_generated.hpp>

namespace radishspread::wire::internal {

/// Size of the keyed tag in front of a peer message, in bytes. It keeps the
/// FlatBuffers body aligned to 8 bytes.
inline constexpr std::size_t tag_size = 8;

/// Conversions between the types of the core and the structs of the schema.
[[nodiscard]] inline schema::Endpoint to_schema(endpoint it) {
    return {it.address, it.port};
}

[[nodiscard]] inline schema::Cookie to_schema(route_cookie const& it) {
    return {it.incarnation, it.domains_revision, it.tag, it.service, it.opening,
        to_schema(it.agent), it.domain, it.key_id};
}

[[nodiscard]] inline schema::Trace to_schema(trace_context const& it) {
    return {it.trace_high, it.trace_low, it.parent, it.flags};
}

[[nodiscard]] inline schema::Stamp to_schema(stamp const& it) {
    return {it.incarnation, it.service_revision, it.domains_revision,
        to_schema(it.sender)};
}

[[nodiscard]] inline schema::Candidate to_schema(candidate const& it) {
    return {it.id, to_schema(it.agent), it.domain};
}

[[nodiscard]] inline schema::FlowKey to_schema(flow_key const& it) {
    return {it.flow, it.service, to_schema(it.caller)};
}

[[nodiscard]] inline schema::RequestWindow to_schema(request_window const& it) {
    return {it.taken, it.highest};
}

[[nodiscard]] inline endpoint from_schema(schema::Endpoint const& it) {
    return {.address = it.address(), .port = it.port()};
}

[[nodiscard]] inline route_cookie from_schema(schema::Cookie const& it) {
    return {.key_id = it.key_id(),
        .domain = it.domain(),
        .service = it.service(),
        .agent = from_schema(it.agent()),
        .incarnation = it.incarnation(),
        .opening = it.opening(),
        .domains_revision = it.domains_revision(),
        .tag = it.tag()};
}

[[nodiscard]] inline trace_context from_schema(schema::Trace const& it) {
    return {.trace_high = it.trace_high(),
        .trace_low = it.trace_low(),
        .parent = it.parent(),
        .flags = it.flags()};
}

[[nodiscard]] inline stamp from_schema(schema::Stamp const& it) {
    return {.sender = from_schema(it.sender()),
        .incarnation = it.incarnation(),
        .service_revision = it.service_revision(),
        .domains_revision = it.domains_revision()};
}

[[nodiscard]] inline candidate from_schema(schema::Candidate const& it) {
    return {
        .id = it.id(), .agent = from_schema(it.agent()), .domain = it.domain()};
}

[[nodiscard]] inline flow_key from_schema(schema::FlowKey const& it) {
    return {.service = it.service(),
        .caller = from_schema(it.caller()),
        .flow = it.flow()};
}

[[nodiscard]] inline request_window from_schema(
    schema::RequestWindow const& it) {
    return {.highest = it.highest(), .taken = it.taken()};
}

} // namespace radishspread::wire::internal

#endif
