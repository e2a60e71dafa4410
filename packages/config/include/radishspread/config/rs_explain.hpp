#ifndef RADISHSPREAD_CONFIG_RS_EXPLAIN_HPP
#define RADISHSPREAD_CONFIG_RS_EXPLAIN_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_section.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>

namespace radishspread::config {

/// The opening whose candidates are explained.
struct explain_query {
    std::string service;
    endpoint caller;
    flow_id flow = 0;
    std::uint8_t attempt = 0;
};

/// Returns a table of the service's backend servers that shows the rank of each
/// candidate, and for all others the reason why they are not candidates. Empty
/// if no section describes the service.
[[nodiscard]] std::optional<std::string> explain(
    std::span<section_ptr const> sections, explain_query const& query);

} // namespace radishspread::config

#endif
