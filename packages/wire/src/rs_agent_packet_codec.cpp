#include <radishspread/wire/rs_agent_packet_codec.hpp>

#include <boost/endian/buffers.hpp>

#include <bit>
#include <cstring>

namespace radishspread::wire {

namespace {

using namespace boost::endian;

/// First byte of each message. Distinguishes agent packets from other datagrams
/// and identifies the format.
constexpr std::uint8_t format_magic = 0xb2;

constexpr std::uint8_t may_queue_flag = 1;
constexpr std::uint8_t cold_flag = 2;
constexpr std::uint8_t locate_reply_flag = 4;
constexpr std::uint8_t must_reply_flag = 8;
constexpr std::uint8_t uncertain_flag = 16;
constexpr std::uint8_t reassigned_flag = 32;
constexpr std::uint8_t service_full_flag = 64;

/// Wire layout of the header: big-endian, without padding.
struct header {
    std::uint8_t magic;
    std::uint8_t kind;
    std::uint8_t why;
    std::uint8_t flags;
    big_uint32_buf_t service;
    big_uint64_buf_t route_version;
    big_uint32_buf_t caller_address;
    big_uint32_buf_t service_address;
    big_uint16_buf_t caller_port;
    big_uint16_buf_t service_port;
    big_uint16_buf_t cold_rate;
    big_uint16_buf_t in_progress;
    big_uint16_buf_t slots;
    big_uint16_buf_t flows;
    big_uint32_buf_t handshake;
    big_uint16_buf_t age_ms;
    big_uint16_buf_t urgent_plus_one; ///< 0: unknown.
};
static_assert(sizeof(header) == agent_packet_header_size);

std::uint8_t flags_of(agent_packet const& it) {
    unsigned const flags = (it.may_queue ? may_queue_flag : 0U) |
                           (it.is_cold ? cold_flag : 0U) |
                           (it.is_locate_reply ? locate_reply_flag : 0U) |
                           (it.must_reply ? must_reply_flag : 0U) |
                           (it.is_uncertain ? uncertain_flag : 0U) |
                           (it.is_of_reassigned ? reassigned_flag : 0U) |
                           (it.is_service_full ? service_full_flag : 0U);
    return static_cast<std::uint8_t>(flags);
}

bool is_valid(header const& it) {
    return it.magic == format_magic &&
           it.kind >= static_cast<std::uint8_t>(agent_packet_kind::open) &&
           it.kind <= static_cast<std::uint8_t>(last_agent_packet_kind) &&
           it.why <= static_cast<std::uint8_t>(last_refusal);
}

} // namespace

std::array<std::byte, agent_packet_header_size> encode_agent_packet_header(
    agent_packet const& message) {
    header const out{
        .magic = format_magic,
        .kind = static_cast<std::uint8_t>(message.kind),
        .why = static_cast<std::uint8_t>(message.why),
        .flags = flags_of(message),
        .service = big_uint32_buf_t(message.service),
        .route_version = big_uint64_buf_t(message.route_version),
        .caller_address = big_uint32_buf_t(message.flow.caller.address),
        .service_address = big_uint32_buf_t(message.flow.service.address),
        .caller_port = big_uint16_buf_t(message.flow.caller.port),
        .service_port = big_uint16_buf_t(message.flow.service.port),
        .cold_rate = big_uint16_buf_t(message.cold_rate),
        .in_progress = big_uint16_buf_t(message.in_progress),
        .slots = big_uint16_buf_t(message.slots),
        .flows = big_uint16_buf_t(message.flows),
        .handshake = big_uint32_buf_t(message.handshake),
        .age_ms = big_uint16_buf_t(message.age_ms),
        .urgent_plus_one =
            big_uint16_buf_t(static_cast<std::uint16_t>(message.urgent + 1U)),
    };
    return std::bit_cast<std::array<std::byte, agent_packet_header_size>>(out);
}

std::optional<agent_packet> decode_agent_packet(
    std::span<std::byte const> data) {
    if (data.size() < agent_packet_header_size)
        return std::nullopt;
    header in{};
    std::memcpy(&in, data.data(), sizeof in);
    if (!is_valid(in))
        return std::nullopt;
    return agent_packet{
        .kind = static_cast<agent_packet_kind>(in.kind),
        .why = static_cast<refusal>(in.why),
        .may_queue = (in.flags & may_queue_flag) != 0,
        .is_service_full = (in.flags & service_full_flag) != 0,
        .is_cold = (in.flags & cold_flag) != 0,
        .is_locate_reply = (in.flags & locate_reply_flag) != 0,
        .must_reply = (in.flags & must_reply_flag) != 0,
        .is_uncertain = (in.flags & uncertain_flag) != 0,
        .is_of_reassigned = (in.flags & reassigned_flag) != 0,
        .service = in.service.value(),
        .route_version = in.route_version.value(),
        .cold_rate = in.cold_rate.value(),
        .in_progress = in.in_progress.value(),
        .urgent = static_cast<std::uint16_t>(in.urgent_plus_one.value() - 1U),
        .slots = in.slots.value(),
        .flows = in.flows.value(),
        .age_ms = in.age_ms.value(),
        .handshake = in.handshake.value(),
        .flow = {.caller = {.address = in.caller_address.value(),
                     .port = in.caller_port.value()},
            .service = {.address = in.service_address.value(),
                .port = in.service_port.value()}},
        .packet = data.subspan(agent_packet_header_size),
    };
}

} // namespace radishspread::wire
