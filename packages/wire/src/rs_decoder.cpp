#include <radishspread/wire/internal/rs_message_check.hpp>
#include <radishspread/wire/internal/rs_schema_types.hpp>
#include <radishspread/wire/rs_codec.hpp>
#include <radishspread/wire/rs_wire_error.hpp>
#include <radishspread/wire/rs_wire_limits.hpp>

#include <sodium/utils.h>

#include <array>
#include <cstring>

namespace radishspread::wire {

using namespace internal;

namespace {

/// Limits of the verifier on nesting and on the number of tables. The message
/// with the most tables is a digest: a root, a body and its entries.
constexpr flatbuffers::uoffset_t max_depth = 8;
constexpr flatbuffers::uoffset_t max_tables = 2 + max_digest_entries;

/// Smallest FlatBuffers body: the root offset and the table's vtable offset.
constexpr std::size_t min_body_size = 8;

constexpr std::size_t alignment = 8;

/// The FlatBuffers body of a datagram at an aligned address. FlatBuffers reads
/// numbers in place, so an unaligned body is copied. Views that are returned
/// still point into the original datagram.
class aligned_body {
public:
    explicit aligned_body(std::span<std::byte const> original)
        : original_(original), start_(original.data()) {
        auto const address = reinterpret_cast<std::uintptr_t>(start_);
        if (address % alignment != 0) {
            std::memcpy(copy_.data(), original.data(), original.size());
            start_ = copy_.data();
        }
    }
    aligned_body(aligned_body const&) = delete;
    aligned_body& operator=(aligned_body const&) = delete;

    /// Returns the root table, or null if the verifier rejects the body.
    template <class Table> [[nodiscard]] Table const* root() const {
        auto const* bytes = reinterpret_cast<std::uint8_t const*>(start_);
        flatbuffers::Verifier verifier(
            bytes, original_.size(), max_depth, max_tables);
        if (!verifier.VerifyBuffer<Table>(nullptr))
            return nullptr;
        return flatbuffers::GetRoot<Table>(bytes);
    }

    /// Returns the bytes of the original datagram that correspond to verified
    /// bytes of the aligned body.
    [[nodiscard]] std::span<std::byte const> view(
        std::uint8_t const* data, std::size_t size) const {
        auto const* bytes = reinterpret_cast<std::byte const*>(data);
        return original_.subspan(
            static_cast<std::size_t>(bytes - start_), size);
    }

    [[nodiscard]] std::span<std::byte const> view(
        flatbuffers::Vector<std::uint8_t> const* it) const {
        if (it == nullptr)
            return {};
        return view(it->data(), it->size());
    }

    [[nodiscard]] std::string_view view(flatbuffers::String const* it) const {
        auto const bytes = view(it->Data(), it->size());
        return {reinterpret_cast<char const*>(bytes.data()), bytes.size()};
    }

private:
    std::span<std::byte const> original_;
    std::byte const* start_;
    alignas(alignment) std::array<std::byte, max_datagram> copy_;
};

std::optional<route_cookie> read(schema::Cookie const* it) {
    if (it == nullptr)
        return std::nullopt;
    return from_schema(*it);
}

trace_context read(schema::Trace const* it) {
    return it == nullptr ? trace_context{} : from_schema(*it);
}

std::error_code read(aligned_body const& body, schema::CallerPacket const& it,
    caller_packet& out) {
    out = {.kind = static_cast<packet_kind>(it.kind()),
        .service = it.service(),
        .flow = it.flow(),
        .attempt = it.attempt(),
        .cookie = read(it.cookie()),
        .request = it.request(),
        .idempotent = it.idempotent(),
        .deadline = std::chrono::milliseconds(it.deadline_ms()),
        .received = it.received(),
        .trace = read(it.trace()),
        .payload = body.view(it.payload())};
    return check(out);
}

std::error_code read(aligned_body const& body, schema::CallerReply const& it,
    caller_reply& out) {
    out = {.kind = static_cast<reply_kind>(it.kind()),
        .service = it.service(),
        .flow = it.flow(),
        .cookie = read(it.cookie()),
        .request = it.request(),
        .outcome = static_cast<outcome>(it.outcome()),
        .reason = static_cast<reason>(it.reason()),
        .status = it.status(),
        .offset = it.offset(),
        .total = it.total(),
        .trace = read(it.trace()),
        .payload = body.view(it.payload())};
    return check(out);
}

bool has_all_fields(schema::Forward const& it) {
    return it.origin() != nullptr && it.caller() != nullptr &&
           it.reply_to() != nullptr && it.packet() != nullptr;
}

std::error_code read(
    aligned_body const& body, schema::Forward const& it, forward& out) {
    if (!has_all_fields(it))
        return wire_error::malformed;
    out.origin = from_schema(*it.origin());
    out.caller = from_schema(*it.caller());
    out.reply_to = from_schema(*it.reply_to());
    out.passes = it.passes();
    out.must_accept = it.must_accept();
    out.least_load = it.least_load();
    out.least_index = it.least_index();
    if (auto const* list = it.candidates()) {
        if (list->size() > max_candidates)
            return wire_error::out_of_range;
        for (auto const* each : *list)
            out.candidates.push_back(from_schema(*each));
    }
    if (auto const ec = read(body, *it.packet(), out.packet))
        return ec;
    return check(out);
}

std::error_code read(
    aligned_body const& body, schema::Deliver const& it, deliver& out) {
    if (it.origin() == nullptr || it.caller() == nullptr ||
        it.reply() == nullptr)
        return wire_error::malformed;
    out.origin = from_schema(*it.origin());
    out.caller = from_schema(*it.caller());
    if (auto const ec = read(body, *it.reply(), out.reply))
        return ec;
    return check(out);
}

std::error_code read(
    aligned_body const& body, schema::PeerDigest const& it, peer_digest& out) {
    if (it.origin() == nullptr)
        return wire_error::malformed;
    out.origin = from_schema(*it.origin());
    out.nonce = it.nonce();
    out.is_reply = it.is_reply();
    out.is_proven = it.is_proven();
    out.is_balancer = it.is_balancer();
    out.view_hash = it.view_hash();
    if (auto const* list = it.entries()) {
        if (list->size() > max_digest_entries)
            return wire_error::out_of_range;
        for (auto const* each : *list) {
            if (each->name() == nullptr)
                return wire_error::malformed;
            out.entries.push_back(
                {.name = body.view(each->name()), .held = each->held()});
        }
    }
    return check(out);
}

std::error_code read(
    aligned_body const&, schema::Handover const& it, handover& out) {
    if (it.origin() == nullptr || it.flow() == nullptr ||
        it.window() == nullptr || it.reply_to() == nullptr)
        return wire_error::malformed;
    out = {.origin = from_schema(*it.origin()),
        .flow = from_schema(*it.flow()),
        .opening = it.opening(),
        .window = from_schema(*it.window()),
        .reply_to = from_schema(*it.reply_to()),
        .target = it.target()};
    return check(out);
}

std::error_code read(
    aligned_body const&, schema::HandoverReply const& it, handover_reply& out) {
    if (it.origin() == nullptr || it.flow() == nullptr)
        return wire_error::malformed;
    out = {.origin = from_schema(*it.origin()),
        .flow = from_schema(*it.flow()),
        .opening = it.opening(),
        .cookie = read(it.cookie()),
        .reason = static_cast<reason>(it.reason()),
        .target = it.target()};
    return check(out);
}

std::error_code check_size(
    std::span<std::byte const> data, std::size_t min_size) {
    if (data.size() > max_datagram)
        return wire_error::too_large;
    if (data.size() < min_size)
        return wire_error::truncated;
    return {};
}

template <class Table, class Message>
std::error_code decode_plain(std::span<std::byte const> data, Message& out) {
    if (auto const ec = check_size(data, min_body_size))
        return ec;
    aligned_body const body(data);
    auto const* root = body.root<Table>();
    if (root == nullptr)
        return wire_error::malformed;
    return read(body, *root, out);
}

bool has_tag(fleet_key const& key, std::span<std::byte const> data) {
    auto const tag = keyed_tag(key, data.subspan(tag_size));
    return sodium_memcmp(&tag, data.data(), tag_size) == 0;
}

template <class Message, class Table>
std::error_code read_as(
    aligned_body const& body, Table const* table, peer_message& out) {
    if (table == nullptr)
        return wire_error::malformed;
    return read(body, *table, out.emplace<Message>());
}

std::error_code read(aligned_body const& body, schema::PeerMessage const& it,
    peer_message& out) {
    switch (it.message_type()) {
    case schema::Message::Forward:
        return read_as<forward>(body, it.message_as_Forward(), out);
    case schema::Message::Deliver:
        return read_as<deliver>(body, it.message_as_Deliver(), out);
    case schema::Message::PeerDigest:
        return read_as<peer_digest>(body, it.message_as_PeerDigest(), out);
    case schema::Message::Handover:
        return read_as<handover>(body, it.message_as_Handover(), out);
    case schema::Message::HandoverReply:
        return read_as<handover_reply>(
            body, it.message_as_HandoverReply(), out);
    default:
        return wire_error::unknown_kind;
    }
}

} // namespace

std::error_code decode(std::span<std::byte const> data, caller_packet& out) {
    return decode_plain<schema::CallerPacket>(data, out);
}

std::error_code decode(std::span<std::byte const> data, caller_reply& out) {
    return decode_plain<schema::CallerReply>(data, out);
}

std::error_code decode(
    fleet_key const& key, std::span<std::byte const> data, peer_message& out) {
    if (auto const ec = check_size(data, tag_size + min_body_size))
        return ec;
    if (!has_tag(key, data))
        return wire_error::wrong_tag;
    aligned_body const body(data.subspan(tag_size));
    auto const* root = body.root<schema::PeerMessage>();
    if (root == nullptr)
        return wire_error::malformed;
    return read(body, *root, out);
}

} // namespace radishspread::wire
