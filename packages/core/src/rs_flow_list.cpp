#include <radishspread/core/rs_flow_list.hpp>

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cstring>

namespace radishspread {

std::vector<std::byte> encode_flow_list(std::span<std::uint64_t const> flows) {
    std::vector<std::byte> out(flows.size_bytes());
    auto* at = out.data();
    for (auto const it : flows) {
        auto const value = boost::endian::native_to_big(it);
        std::memcpy(at, &value, sizeof value);
        at += sizeof value;
    }
    return out;
}

std::vector<std::uint64_t> decode_flow_list(std::span<std::byte const> bytes) {
    std::vector<std::uint64_t> out(bytes.size() / sizeof(std::uint64_t));
    if (!out.empty())
        std::memcpy(
            out.data(), bytes.data(), out.size() * sizeof(std::uint64_t));
    for (auto& it : out)
        boost::endian::big_to_native_inplace(it);
    std::sort(out.begin(), out.end());
    return out;
}

} // namespace radishspread
