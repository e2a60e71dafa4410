#include <radishspread/config/internal/rs_read_text.hpp>

#include <radishspread/config/internal/rs_yaml_tree.hpp>

#include <fstream>

namespace radishspread::config {

std::optional<std::string> read_text(std::string const& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in)
        return std::nullopt;
    std::string text(internal::max_text + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (in.bad() || (in.fail() && !in.eof()))
        return std::nullopt;
    text.resize(static_cast<std::size_t>(in.gcount()));
    return text;
}

} // namespace radishspread::config
