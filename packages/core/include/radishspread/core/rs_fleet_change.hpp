#ifndef RADISHSPREAD_CORE_RS_FLEET_CHANGE_HPP
#define RADISHSPREAD_CORE_RS_FLEET_CHANGE_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_item_version.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace radishspread {

/// Identifier of a service or failure domain in messages and tables: a hash of
/// its name (first half of SipHash-2-4), the same in every process.
[[nodiscard]] std::uint32_t name_tag(std::string_view name);

/// Route from an address to the service that takes its flows.
struct route_entry {
    endpoint address;
    std::uint32_t service = 0; ///< `name_tag` of the service.
    duration goal{0};          ///< Response-time goal; 0: none.
    std::uint8_t priority = 0; ///< Of its requests; 0 is the most urgent.
};

/// Limit on openings at cold backend servers of a service.
struct service_warmup {
    std::uint32_t service = 0;      ///< `name_tag` of the service.
    duration period{0};             ///< How long a started server is cold.
    double openings_per_second = 0; ///< 0: no limit.
};

/// All routes, as last published by the operators.
struct route_set {
    std::uint64_t version = 0;
    std::vector<route_entry> routes;
    std::vector<service_warmup> warmups;
};

/// Announcement that a backend server publishes about itself.
struct backend_announcement {
    std::uint32_t service = 0; ///< `name_tag` of the service.
    std::uint32_t domain = 0;  ///< `name_tag` of the failure domain.
    endpoint backend;          ///< Where it receives packets.
    std::uint16_t slots = 1;   ///< Requests processed at the same time.
    bool is_draining = false;
    duration warmup_left{0};         ///< 0 if it is warm.
    std::uint64_t start_unix_ms = 0; ///< Start time of the backend server.
};

/// A failure domain that operators have taken out of service.
struct domain_taken_out {
    std::uint32_t domain = 0; ///< `name_tag` of the failure domain.
};

/// The item was removed, or its content is unusable.
struct no_content {};

/// One item of the shared configuration, as of its latest revision.
struct fleet_change {
    std::string name; ///< Unique name of the item.
    radishspread::revision revision = 0;
    std::variant<no_content, route_set, backend_announcement, domain_taken_out>
        content;
    bool is_unreadable = false; ///< The item exists, its content is unusable.
    std::uint64_t era = 0;      ///< Of the revision, see `item_version`.

    [[nodiscard]] item_version version() const {
        return {.era = era, .revision = revision};
    }
};

} // namespace radishspread

#endif
