#ifndef RADISHSPREAD_CORE_RS_BALANCER_OPTIONS_HPP
#define RADISHSPREAD_CORE_RS_BALANCER_OPTIONS_HPP

#include <radishspread/core/rs_document_options.hpp>
#include <radishspread/core/rs_fleet_key.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>

namespace radishspread {

/// Options of the balancer core.
struct balancer_options {
    document_options document;
    fleet_key key; ///< Key of the cookies' tags.
    std::uint8_t key_id = 1;
    duration open_timeout = std::chrono::milliseconds(100); ///< Hedging delay.
    duration suspect_window = std::chrono::seconds(10);
    duration suspect_time = std::chrono::seconds(5);
    std::size_t max_pending_openings = 4096;
};

} // namespace radishspread

#endif
