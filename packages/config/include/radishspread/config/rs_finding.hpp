#ifndef RADISHSPREAD_CONFIG_RS_FINDING_HPP
#define RADISHSPREAD_CONFIG_RS_FINDING_HPP

#include <cstdint>
#include <string>

namespace radishspread::config {

/// What a finding in a valid document says.
enum class finding_kind : std::uint8_t {
    unused,        ///< The entry can never take part in a decision.
    contradiction, ///< Two values exclude each other.
    risk,          ///< The change breaks flows or takes capacity at once.
    change,        ///< Differs from the document in force.
};

/// Something in a document without faults that an operator should know before
/// publishing it.
struct finding {
    finding_kind kind = finding_kind::unused;
    std::string section; ///< Name of the section, route or service.
    std::string text;    ///< The entry and what was found.

    friend bool operator==(finding const&, finding const&) = default;
};

/// Formats a finding as one line: "kind: section: text".
[[nodiscard]] std::string to_string(finding const& it);

} // namespace radishspread::config

#endif
