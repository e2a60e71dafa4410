#include <golden/rs_approved_text.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string_view>

namespace radishspread::golden {

namespace {

void write_file(std::string const& path, std::string const& text) {
    std::ofstream(path, std::ios::binary) << text;
}

bool is_approving() {
    // Not a data race: the test program has one thread and does not modify the
    // environment.
    auto const* const it =
        std::getenv("RADISHSPREAD_APPROVE"); // NOLINT(concurrency-mt-unsafe)
    return it != nullptr && std::string_view(it) == "1";
}

} // namespace

std::string read_file(std::string const& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

bool is_approved(std::string const& name, std::string const& text) {
    auto const approved = RADISHSPREAD_SOURCE "/tests/approved/" + name;
    if (is_approving())
        write_file(approved, text);
    if (read_file(approved) == text)
        return true;
    auto const received = RADISHSPREAD_RECEIVED "/" + name;
    write_file(received, text);
    std::cout << std::endl;
    auto const command = "diff -u -N '" + approved + "' '" + received + "'";
    // The file names are constants of the tests in this directory, not input.
    static_cast<void>(
        std::system(command.c_str())); // NOLINT(concurrency-mt-unsafe)
    return false;
}

} // namespace radishspread::golden
