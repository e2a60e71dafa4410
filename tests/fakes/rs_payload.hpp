#ifndef RADISHSPREAD_TESTS_FAKES_RS_PAYLOAD_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_PAYLOAD_HPP

#include <fakes/rs_observation.hpp>

#include <cstddef>
#include <cstring>
#include <span>
#include <vector>

namespace radishspread::fakes {

/// Payload of a fake caller's request.
struct request_payload {
    identity id = 0;
    service_id service = 0;
    std::uint32_t answer_size = 0; ///< In bytes.
};

inline std::vector<std::byte> to_bytes(request_payload const& it) {
    std::vector<std::byte> buf(sizeof it);
    std::memcpy(buf.data(), &it, sizeof it);
    return buf;
}

inline request_payload read_payload(std::span<std::byte const> data) {
    request_payload it;
    if (data.size() >= sizeof it)
        std::memcpy(&it, data.data(), sizeof it);
    return it;
}

/// The only correct answer to a request. Its bytes depend on each byte of the
/// request's identity, so that the answer to another request is detected.
inline std::vector<std::byte> make_answer(request_payload const& it) {
    std::vector<std::byte> buf(it.answer_size);
    std::uint64_t state = it.id * 0x9e3779b97f4a7c15U + it.service;
    for (auto& byte : buf) {
        state ^= state >> 29U;
        state *= 0xbf58476d1ce4e5b9U;
        byte = static_cast<std::byte>(state >> 56U);
    }
    return buf;
}

} // namespace radishspread::fakes

#endif
