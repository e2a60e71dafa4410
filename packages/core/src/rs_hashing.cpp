#include <radishspread/core/rs_flow_key.hpp>
#include <radishspread/core/rs_route_cookie.hpp>

#include <sodium/crypto_shorthash.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>

namespace radishspread {

namespace {

/// Packs fields into a fixed buffer without padding bytes, so that equal values
/// have equal hashes in every process.
template <std::size_t Size> class packer {
public:
    template <class T> void add(T value) {
        std::memcpy(buf_.data() + used_, &value, sizeof value);
        used_ += sizeof value;
    }

    [[nodiscard]] std::span<std::byte const> bytes() const {
        return {buf_.data(), used_};
    }

private:
    std::array<std::byte, Size> buf_;
    std::size_t used_ = 0;
};

template <std::size_t Size>
void add_flow(packer<Size>& buf, flow_key const& key) {
    buf.add(key.service);
    buf.add(key.caller.address);
    buf.add(key.caller.port);
    buf.add(key.flow);
}

} // namespace

std::uint64_t hash_value(flow_key const& key) {
    packer<18> buf;
    add_flow(buf, key);
    return XXH3_64bits(buf.bytes().data(), buf.bytes().size());
}

std::uint64_t keyed_tag(fleet_key const& key, std::span<std::byte const> data) {
    static_assert(crypto_shorthash_KEYBYTES == sizeof key.bytes);
    std::uint64_t tag = 0;
    crypto_shorthash(reinterpret_cast<unsigned char*>(&tag),
        reinterpret_cast<unsigned char const*>(data.data()), data.size(),
        key.bytes.data());
    return tag;
}

std::uint64_t cookie_tag(
    fleet_key const& secret, route_cookie const& cookie, flow_key const& key) {
    packer<56> buf;
    buf.add(cookie.key_id);
    buf.add(cookie.domain);
    buf.add(cookie.service);
    buf.add(cookie.agent.address);
    buf.add(cookie.agent.port);
    buf.add(cookie.incarnation);
    buf.add(cookie.opening);
    buf.add(cookie.domains_revision);
    add_flow(buf, key);
    return keyed_tag(secret, buf.bytes());
}

} // namespace radishspread
