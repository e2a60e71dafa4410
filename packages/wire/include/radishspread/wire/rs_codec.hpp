#ifndef RADISHSPREAD_WIRE_RS_CODEC_HPP
#define RADISHSPREAD_WIRE_RS_CODEC_HPP

#include <radishspread/core/rs_deliver.hpp>
#include <radishspread/core/rs_fleet_key.hpp>
#include <radishspread/core/rs_forward.hpp>
#include <radishspread/core/rs_handover.hpp>
#include <radishspread/core/rs_handover_reply.hpp>
#include <radishspread/core/rs_peer_digest.hpp>

#include <cstddef>
#include <memory>
#include <span>
#include <system_error>
#include <variant>

namespace radishspread::wire {

/// Maximum size of a datagram of any kind, in bytes.
inline constexpr std::size_t max_datagram = 1400;

/// A message between two processes of the fleet (balancers and agents).
using peer_message =
    std::variant<forward, deliver, peer_digest, handover, handover_reply>;

/// Encodes messages into datagrams. All calls share one buffer: a returned view
/// is valid until the next call. Peer messages are prefixed with a tag keyed
/// with the fleet key. A message with a value out of range gives an empty view.
class encoder {
public:
    explicit encoder(fleet_key key);
    ~encoder();
    encoder(encoder&&) noexcept;
    encoder& operator=(encoder&&) noexcept;

    [[nodiscard]] std::span<std::byte const> encode(caller_packet const& it);
    [[nodiscard]] std::span<std::byte const> encode(caller_reply const& it);
    [[nodiscard]] std::span<std::byte const> encode(forward const& it);
    [[nodiscard]] std::span<std::byte const> encode(deliver const& it);
    [[nodiscard]] std::span<std::byte const> encode(peer_digest const& it);
    [[nodiscard]] std::span<std::byte const> encode(handover const& it);
    [[nodiscard]] std::span<std::byte const> encode(handover_reply const& it);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Decode a datagram. Views in `out` point into `data`. Errors belong to
/// `wire_category()`; after an error, the content of `out` is unspecified.
[[nodiscard]] std::error_code decode(
    std::span<std::byte const> data, caller_packet& out);
[[nodiscard]] std::error_code decode(
    std::span<std::byte const> data, caller_reply& out);

/// Verifies the tag with the fleet key before reading anything else.
[[nodiscard]] std::error_code decode(
    fleet_key const& key, std::span<std::byte const> data, peer_message& out);

} // namespace radishspread::wire

#endif
