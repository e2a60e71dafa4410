#ifndef RADISHSPREAD_CONFIG_INTERNAL_RS_LIMITS_READER_HPP
#define RADISHSPREAD_CONFIG_INTERNAL_RS_LIMITS_READER_HPP

#include <radishspread/config/internal/rs_map_reader.hpp>
#include <radishspread/config/rs_settings.hpp>

namespace radishspread::config::internal {

/// Reads the optional map `limits` of `top` into the options in `out`. A key
/// that does not apply to the role is reported as a fault.
void read_limits(map_reader& top, settings& out, fault_list& faults);

} // namespace radishspread::config::internal

#endif
