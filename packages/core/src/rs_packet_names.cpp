#include <radishspread/core/rs_fleet_change.hpp>
#include <radishspread/core/rs_packet_flow.hpp>
#include <radishspread/core/rs_refusal.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cstring>

#include <sodium.h>

namespace radishspread {

namespace {

constexpr std::array<std::string_view, 15> refusal_names{"none",
    "unknown_route", "no_candidate", "other_service", "stale_view", "draining",
    "domain_out", "warming_up", "overloaded", "backend_refused", "unresponsive",
    "not_held", "unproven_view", "unanswered", "failing"};
static_assert(
    refusal_names.size() == static_cast<std::size_t>(last_refusal) + 1);

} // namespace

std::string_view to_string(refusal value) {
    return refusal_names[static_cast<std::size_t>(value)];
}

std::uint32_t name_tag(std::string_view name) {
    // The key is fixed because the tag is not secret and must be the same in
    // every process.
    constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> key{};
    std::array<unsigned char, crypto_shorthash_BYTES> out{};
    crypto_shorthash(out.data(),
        reinterpret_cast<unsigned char const*>(name.data()), name.size(),
        key.data());
    std::uint32_t tag = 0;
    std::memcpy(&tag, out.data(), sizeof tag);
    return tag;
}

std::uint64_t hash_value(packet_flow const& key) {
    std::array<std::uint64_t, 2> const words{
        std::uint64_t{key.caller.address} << 16U | key.caller.port,
        std::uint64_t{key.service.address} << 16U | key.service.port};
    return XXH3_64bits(words.data(), sizeof words);
}

} // namespace radishspread
