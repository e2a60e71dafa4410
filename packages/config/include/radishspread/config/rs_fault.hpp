#ifndef RADISHSPREAD_CONFIG_RS_FAULT_HPP
#define RADISHSPREAD_CONFIG_RS_FAULT_HPP

#include <string>

namespace radishspread::config {

/// One fault in settings or a document section.
struct fault {
    std::string file;     ///< File or section name.
    int line = 0;         ///< From 1; 0 if it concerns the whole text.
    int column = 0;       ///< From 1; 0 if it concerns the whole text.
    std::string key;      ///< Path of keys, as "limits.queue".
    std::string expected; ///< What was expected and what was found.

    friend bool operator==(fault const&, fault const&) = default;
};

/// One line: "file:line:column: key: expected".
[[nodiscard]] std::string to_string(fault const& it);

} // namespace radishspread::config

#endif
