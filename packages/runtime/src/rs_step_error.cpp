#include <radishspread/runtime/rs_step_error.hpp>

#include <cerrno>

namespace radishspread::runtime {

std::string to_string(step_error const& error) {
    std::string out = error.code.message();
    out += " (step=";
    out += radishspread::to_string(error.step);
    if (error.peer.is_set())
        out += ", peer=" + radishspread::to_string(error.peer);
    return out += ')';
}

std::error_code last_system_error() {
    return {errno, std::system_category()};
}

} // namespace radishspread::runtime
