// Packets of flows, as the protocol page gives them.
#ifndef REVIEW_2_PACKET_HPP
#define REVIEW_2_PACKET_HPP

#include "loop.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace standin {

inline constexpr std::uint8_t flag_fin = 2;
inline constexpr std::uint8_t flag_rst = 4;
inline constexpr std::uint8_t flag_ack = 16;
inline constexpr std::uint8_t flag_syn = 32;
inline constexpr std::uint8_t flag_bounced = 64;

struct packet {
    address from;
    address to;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t sum = 0;
    std::uint32_t echo = 0;
    std::uint8_t flags = 0;
    std::uint8_t pad = 0;
    std::string data;

    [[nodiscard]] bool has(std::uint8_t flag) const {
        return (flags & flag) != 0;
    }
};

/// Both ends of a flow, as the client's packets name them.
struct flow_key {
    address client;
    address route;
    friend auto operator<=>(flow_key const&, flow_key const&) = default;
};

inline void put(std::string& out, std::uint32_t value, unsigned bytes) {
    while (bytes-- > 0)
        out += static_cast<char>(value >> 8U * bytes & 255U);
}

inline std::uint32_t get(std::string_view in, unsigned at, unsigned bytes) {
    std::uint32_t out = 0;
    for (unsigned n = 0; n != bytes; ++n)
        out = out << 8U | static_cast<unsigned char>(in[at + n]);
    return out;
}

/// Keyed sum over all fields but `echo`, `pad` and BOUNCED.
inline std::uint32_t sum_of(packet const& it) {
    std::string text = "the stand-ins' key";
    for (auto const value : {it.from.ip, it.to.ip, std::uint32_t{it.from.port},
             std::uint32_t{it.to.port}, it.seq, it.ack})
        put(text, value, 4);
    put(text, it.flags & ~std::uint32_t{flag_bounced}, 1);
    text += it.data;
    std::uint32_t out = 2166136261U;
    for (char const c : text)
        out = (out ^ static_cast<unsigned char>(c)) * 16777619U;
    return out == 0 ? 1 : out;
}

inline std::string encode(packet const& it) {
    std::string out;
    put(out, it.from.ip, 4);
    put(out, it.to.ip, 4);
    put(out, it.to.port, 2);
    put(out, it.from.port, 2);
    put(out, it.seq, 4);
    put(out, it.ack, 4);
    put(out, it.sum, 4);
    put(out, it.echo, 4);
    put(out, static_cast<std::uint32_t>(it.data.size()), 2);
    put(out, it.flags, 1);
    put(out, it.pad, 1);
    return out + it.data;
}

inline std::optional<packet> decode(std::string_view in) {
    constexpr std::size_t head = 32;
    if (in.size() < head || in.size() != head + get(in, 28, 2))
        return std::nullopt;
    return packet{
        .from = {get(in, 0, 4), static_cast<std::uint16_t>(get(in, 10, 2))},
        .to = {get(in, 4, 4), static_cast<std::uint16_t>(get(in, 8, 2))},
        .seq = get(in, 12, 4),
        .ack = get(in, 16, 4),
        .sum = get(in, 20, 4),
        .echo = get(in, 24, 4),
        .flags = static_cast<std::uint8_t>(get(in, 30, 1)),
        .pad = static_cast<std::uint8_t>(get(in, 31, 1)),
        .data = std::string(in.substr(head))};
}

inline std::string sealed(packet it) {
    it.sum = sum_of(it);
    return encode(it);
}

} // namespace standin

#endif
