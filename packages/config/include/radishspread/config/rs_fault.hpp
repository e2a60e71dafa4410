#ifndef RADISHSPREAD_CONFIG_RS_FAULT_HPP
#define RADISHSPREAD_CONFIG_RS_FAULT_HPP

#include <string>

namespace radishspread::config {

/// One fault in a settings file or a section of the document.
struct fault {
    std::string file;     ///< File or section name.
    int line = 0;         ///< Starts at 1; 0 if it concerns the whole text.
    int column = 0;       ///< Starts at 1; 0 if it concerns the whole text.
    std::string key;      ///< Path of keys, such as "limits.queue".
    std::string expected; ///< The expected and the actual value.

    friend bool operator==(fault const&, fault const&) = default;
};

/// Formats a fault as one line: "file:line:column: key: expected".
[[nodiscard]] std::string to_string(fault const& it);

} // namespace radishspread::config

#endif
