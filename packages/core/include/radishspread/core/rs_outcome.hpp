#ifndef RADISHSPREAD_CORE_RS_OUTCOME_HPP
#define RADISHSPREAD_CORE_RS_OUTCOME_HPP

#include <cstdint>

namespace radishspread {

/// Whether a request has run, as far as the caller can know.
enum class outcome : std::uint8_t {
    none,    ///< No request is concerned, or it has been answered.
    not_run, ///< The request has not run and will not run.
    unknown, ///< The request may have run.
};

} // namespace radishspread

#endif
