#ifndef RADISHSPREAD_RUNTIME_RS_RANDOM_NUMBER_HPP
#define RADISHSPREAD_RUNTIME_RS_RANDOM_NUMBER_HPP

#include <cstdint>

namespace radishspread::runtime {

/// Random 64-bit number other than 0, for incarnations and seeds.
[[nodiscard]] std::uint64_t random_number();

} // namespace radishspread::runtime

#endif
