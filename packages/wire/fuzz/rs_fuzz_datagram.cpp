#include <radishspread/wire/rs_codec.hpp>

#include <cstdlib>
#include <cstring>
#include <vector>

using namespace radishspread;
using namespace radishspread::wire;

namespace {

constexpr std::size_t tag_size = 8;
fleet_key const key{{1, 2, 3, 4}};

void require(bool condition) {
    if (!condition)
        std::abort();
}

/// A decoded message must be encodable again.
template <class Message> void require_encodable(Message const& it) {
    static encoder codec(key);
    require(!codec.encode(it).empty());
}

void decode_plain(std::span<std::byte const> data) {
    caller_packet packet;
    if (!decode(data, packet))
        require_encodable(packet);
    caller_reply reply;
    if (!decode(data, reply))
        require_encodable(reply);
}

/// Prefixes the data with a valid tag, which the fuzzer could not guess, and
/// decodes it as a peer message.
void decode_tagged(std::span<std::byte const> data) {
    auto const tag = keyed_tag(key, data);
    std::vector<std::byte> buf(tag_size + data.size());
    std::memcpy(buf.data(), &tag, tag_size);
    if (!data.empty())
        std::memcpy(buf.data() + tag_size, data.data(), data.size());
    peer_message message;
    if (!decode(key, buf, message))
        std::visit([](auto const& it) { require_encodable(it); }, message);
}

} // namespace

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(
    std::uint8_t const* data, std::size_t size) {
    std::span const bytes(reinterpret_cast<std::byte const*>(data), size);
    decode_plain(bytes);
    decode_tagged(bytes);
    return 0;
}
