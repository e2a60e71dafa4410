#include <radishspread/config/internal/rs_map_reader.hpp>
#include <radishspread/config/internal/rs_section_readers.hpp>

#include <array>

namespace radishspread::config::internal {

namespace {

/// Maximum number and maximum id of failure domains. Cookies and digests
/// contain the id, and the routing tables have 64 entries.
constexpr domain_id max_domains = 64;

constexpr std::array<std::string_view, 2> states{"in", "out"};

} // namespace

domains_section read_domains(yaml_node const& root, fault_list& faults) {
    domains_section section;
    map_reader top(root, {}, faults);
    unique_values<std::string> names;
    unique_values<domain_id> ids;
    auto const items = top.list("failure_domains");
    if (items.size() > max_domains)
        top.fault("failure_domains", "expected at most 64 failure domains");
    for (std::size_t n = 0; n < items.size(); ++n) {
        map_reader it(items[n], element_path("failure_domains", n), faults);
        auto const name = it.name("name");
        auto const id = it.integer<domain_id>("id", 1, max_domains);
        auto const region = it.name("region");
        auto const state = it.choice("state", states);
        it.finish();
        names.add(it, "name", name);
        ids.add(it, "id", id);
        section.failure_domains.push_back({.name = name.value_or(""),
            .id = id.value_or(0),
            .region = region.value_or(""),
            .is_out = state == 1U});
    }
    top.finish();
    return section;
}

} // namespace radishspread::config::internal
