#include <radishspread/runtime/rs_random_number.hpp>

#include <random>

namespace radishspread::runtime {

std::uint64_t random_number() {
    std::random_device source;
    return std::uniform_int_distribution<std::uint64_t>(1)(source);
}

} // namespace radishspread::runtime
