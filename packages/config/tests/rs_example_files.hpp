#ifndef RADISHSPREAD_CONFIG_TESTS_RS_EXAMPLE_FILES_HPP
#define RADISHSPREAD_CONFIG_TESTS_RS_EXAMPLE_FILES_HPP

#include <radishspread/config/rs_fault.hpp>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace radishspread::config {

inline std::string example_path(std::string const& name) {
    return std::string(RADISHSPREAD_EXAMPLES) + '/' + name;
}

inline std::string read_example(std::string const& name) {
    std::ifstream in(example_path(name));
    return {std::istreambuf_iterator(in), {}};
}

inline std::string join(std::vector<fault> const& faults) {
    std::string text;
    for (auto const& each : faults)
        text += to_string(each) + '\n';
    return text;
}

} // namespace radishspread::config

#endif
