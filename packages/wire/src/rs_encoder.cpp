#include <radishspread/wire/internal/rs_message_check.hpp>
#include <radishspread/wire/internal/rs_schema_types.hpp>
#include <radishspread/wire/rs_codec.hpp>

#include <array>
#include <cstring>

namespace radishspread::wire {

using namespace internal;

namespace {

// The enumerations of the core and of the schema have the same values, so that
// they can be cast.
static_assert(static_cast<int>(packet_kind::close) ==
              static_cast<int>(schema::PacketKind::MAX));
static_assert(static_cast<int>(reply_kind::moved) ==
              static_cast<int>(schema::ReplyKind::MAX));
static_assert(static_cast<int>(outcome::unknown) ==
              static_cast<int>(schema::Outcome::MAX));
static_assert(static_cast<int>(reason::cancelled) ==
              static_cast<int>(schema::Reason::MAX));

using builder = flatbuffers::FlatBufferBuilder;
using byte_vector = flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>;

/// Adds a payload; an empty payload is omitted from the encoding.
byte_vector add_payload(builder& buf, std::span<std::byte const> payload) {
    if (payload.empty())
        return 0;
    return buf.CreateVector(
        reinterpret_cast<std::uint8_t const*>(payload.data()), payload.size());
}

/// Adapts an optional struct to the generated functions, which take a pointer
/// that is null if the struct is absent.
class optional_cookie {
public:
    explicit optional_cookie(std::optional<route_cookie> const& it)
        : is_set_(it.has_value()) {
        if (it)
            value_ = to_schema(*it);
    }
    [[nodiscard]] schema::Cookie const* get() const {
        return is_set_ ? &value_ : nullptr;
    }

private:
    schema::Cookie value_;
    bool is_set_;
};

class optional_trace {
public:
    explicit optional_trace(trace_context const& it)
        : value_(to_schema(it)), is_set_(it != trace_context{}) {}
    [[nodiscard]] schema::Trace const* get() const {
        return is_set_ ? &value_ : nullptr;
    }

private:
    schema::Trace value_;
    bool is_set_;
};

flatbuffers::Offset<schema::CallerPacket> add(
    builder& buf, caller_packet const& it) {
    auto const payload = add_payload(buf, it.payload);
    return schema::CreateCallerPacket(buf,
        static_cast<schema::PacketKind>(it.kind), it.attempt, it.idempotent,
        it.service, it.flow, it.request,
        static_cast<std::uint32_t>(it.deadline.count()), it.received,
        optional_cookie(it.cookie).get(), optional_trace(it.trace).get(),
        payload);
}

flatbuffers::Offset<schema::CallerReply> add(
    builder& buf, caller_reply const& it) {
    auto const payload = add_payload(buf, it.payload);
    return schema::CreateCallerReply(buf,
        static_cast<schema::ReplyKind>(it.kind),
        static_cast<schema::Outcome>(it.outcome),
        static_cast<schema::Reason>(it.reason), it.status, it.service, it.flow,
        it.request, it.offset, it.total, optional_cookie(it.cookie).get(),
        optional_trace(it.trace).get(), payload);
}

flatbuffers::Offset<schema::Forward> add(builder& buf, forward const& it) {
    auto const packet = add(buf, it.packet);
    flatbuffers::Offset<flatbuffers::Vector<schema::Candidate const*>> list = 0;
    if (!it.candidates.empty()) {
        std::array<schema::Candidate, max_candidates> candidates;
        std::size_t n = 0;
        for (auto const& each : it.candidates)
            candidates[n++] = to_schema(each);
        list = buf.CreateVectorOfStructs(candidates.data(), n);
    }
    auto const origin = to_schema(it.origin);
    auto const caller = to_schema(it.caller);
    auto const reply_to = to_schema(it.reply_to);
    return schema::CreateForward(buf, &origin, &caller, &reply_to, it.passes,
        it.must_accept, it.least_load, it.least_index, list, packet);
}

flatbuffers::Offset<schema::Deliver> add(builder& buf, deliver const& it) {
    auto const reply = add(buf, it.reply);
    auto const origin = to_schema(it.origin);
    auto const caller = to_schema(it.caller);
    return schema::CreateDeliver(buf, &origin, &caller, reply);
}

flatbuffers::Offset<schema::PeerDigest> add(
    builder& buf, peer_digest const& it) {
    std::array<flatbuffers::Offset<schema::DigestEntry>, max_digest_entries>
        entries;
    std::size_t n = 0;
    for (auto const& each : it.entries) {
        auto const name = buf.CreateString(each.name.data(), each.name.size());
        entries[n++] = schema::CreateDigestEntry(buf, each.held, name);
    }
    auto const list = buf.CreateVector(entries.data(), n);
    auto const origin = to_schema(it.origin);
    return schema::CreatePeerDigest(buf, &origin, it.nonce, it.is_reply,
        it.is_proven, it.is_balancer, it.view_hash, list);
}

flatbuffers::Offset<schema::Handover> add(builder& buf, handover const& it) {
    auto const origin = to_schema(it.origin);
    auto const flow = to_schema(it.flow);
    auto const window = to_schema(it.window);
    auto const reply_to = to_schema(it.reply_to);
    return schema::CreateHandover(
        buf, &origin, &flow, it.opening, &window, &reply_to, it.target);
}

flatbuffers::Offset<schema::HandoverReply> add(
    builder& buf, handover_reply const& it) {
    auto const origin = to_schema(it.origin);
    auto const flow = to_schema(it.flow);
    return schema::CreateHandoverReply(buf, &origin, &flow, it.opening,
        optional_cookie(it.cookie).get(),
        static_cast<schema::Reason>(it.reason), it.target);
}

} // namespace

struct encoder::state {
    fleet_key key;
    builder buf{max_datagram};
    alignas(8) std::array<std::byte, max_datagram> tagged{};

    /// Encodes a message between a caller and a balancer, which has no tag.
    template <class Message>
    std::span<std::byte const> encode_plain(Message const& it) {
        if (check(it))
            return {};
        buf.Clear();
        buf.Finish(add(buf, it));
        return {reinterpret_cast<std::byte const*>(buf.GetBufferPointer()),
            buf.GetSize()};
    }

    /// Encodes a message between two processes of the fleet, prefixed with its
    /// tag.
    template <class Table, class Message>
    std::span<std::byte const> encode_tagged(Message const& it) {
        if (check(it))
            return {};
        buf.Clear();
        auto const message = add(buf, it).Union();
        buf.Finish(schema::CreatePeerMessage(
            buf, schema::MessageTraits<Table>::enum_value, message));
        auto const body = std::span(tagged).subspan(tag_size);
        if (buf.GetSize() > body.size())
            return {};
        std::memcpy(body.data(), buf.GetBufferPointer(), buf.GetSize());
        auto const tag = keyed_tag(key, body.first(buf.GetSize()));
        std::memcpy(tagged.data(), &tag, tag_size);
        return std::span(tagged).first(tag_size + buf.GetSize());
    }
};

encoder::encoder(fleet_key key) : state_(std::make_unique<state>()) {
    state_->key = key;
}
encoder::~encoder() = default;
encoder::encoder(encoder&&) noexcept = default;
encoder& encoder::operator=(encoder&&) noexcept = default;

std::span<std::byte const> encoder::encode(caller_packet const& it) {
    return state_->encode_plain(it);
}

std::span<std::byte const> encoder::encode(caller_reply const& it) {
    return state_->encode_plain(it);
}

std::span<std::byte const> encoder::encode(forward const& it) {
    return state_->encode_tagged<schema::Forward>(it);
}

std::span<std::byte const> encoder::encode(deliver const& it) {
    return state_->encode_tagged<schema::Deliver>(it);
}

std::span<std::byte const> encoder::encode(peer_digest const& it) {
    return state_->encode_tagged<schema::PeerDigest>(it);
}

std::span<std::byte const> encoder::encode(handover const& it) {
    return state_->encode_tagged<schema::Handover>(it);
}

std::span<std::byte const> encoder::encode(handover_reply const& it) {
    return state_->encode_tagged<schema::HandoverReply>(it);
}

} // namespace radishspread::wire
