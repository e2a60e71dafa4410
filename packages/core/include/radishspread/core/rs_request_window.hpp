#ifndef RADISHSPREAD_CORE_RS_REQUEST_WINDOW_HPP
#define RADISHSPREAD_CORE_RS_REQUEST_WINDOW_HPP

#include <radishspread/core/rs_ids.hpp>

#include <cstdint>

namespace radishspread {

/// Request ids that are taken in a flow: the highest one, and a bitmap of the
/// 64 ids up to it (bit 0 is `highest`).
struct request_window {
    request_id highest = 0;
    std::uint64_t taken = 0;

    friend bool operator==(
        request_window const&, request_window const&) = default;
};

} // namespace radishspread

#endif
