#ifndef RADISHSPREAD_CORE_RS_OUTCOME_HPP
#define RADISHSPREAD_CORE_RS_OUTCOME_HPP

#include <cstdint>

namespace radishspread {

/// What the caller may conclude about its request.
enum class outcome : std::uint8_t {
    none,    ///< No request is concerned, or it was answered.
    not_run, ///< The request did not and will not run.
    unknown, ///< The request may have run.
};

} // namespace radishspread

#endif
