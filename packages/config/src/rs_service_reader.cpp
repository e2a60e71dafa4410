#include <radishspread/config/internal/rs_map_reader.hpp>
#include <radishspread/config/internal/rs_section_readers.hpp>

#include <algorithm>
#include <array>

namespace radishspread::config::internal {

namespace {

constexpr std::uint32_t max_slots = 10'000;
constexpr std::uint32_t max_connections = 1'000'000;

constexpr std::array<std::string_view, 2> states{"active", "draining"};

/// Values that must be unique among the backend servers of a service.
struct unique_fields {
    unique_values<std::string> names;
    unique_values<backend_id> ids;
    unique_values<std::string> agents;
};

domain_id find_domain(
    map_reader& it, std::string const& name, domains_section const* domains) {
    if (domains == nullptr)
        return 0;
    auto const found =
        std::ranges::find(domains->failure_domains, name, &domain_entry::name);
    if (found != domains->failure_domains.end())
        return found->id;
    it.fault("failure_domain",
        "expected a failure domain of the section 'domains', found '" + name +
            '\'');
    return 0;
}

backend_entry read_backend(
    map_reader& it, domains_section const* domains, unique_fields& unique) {
    auto const name = it.name("name");
    auto const id = it.integer<backend_id>("id", 1);
    auto const domain = it.name("failure_domain");
    auto const agent = it.address_and_port("agent");
    auto const slots = it.integer<std::uint32_t>("slots", 1, max_slots);
    auto const connections =
        it.integer<std::uint32_t>("connections", 1, max_connections);
    auto const state = it.choice("state", states, presence::optional);
    it.finish();
    unique.names.add(it, "name", name);
    unique.ids.add(it, "id", id);
    unique.agents.add(
        it, "agent", agent ? std::optional(to_string(*agent)) : std::nullopt);
    return {.name = name.value_or(""),
        .id = id.value_or(0),
        .domain = domain ? find_domain(it, *domain, domains) : domain_id{0},
        .domain_name = domain.value_or(""),
        .agent = agent.value_or(endpoint{}),
        .slots = slots.value_or(1),
        .connections = connections.value_or(1),
        .is_draining = state == 1U};
}

} // namespace

service_section read_service(yaml_node const& root, std::string_view name,
    domains_section const* domains, fault_list& faults) {
    service_section section;
    map_reader top(root, {}, faults);
    section.name = top.name("service").value_or("");
    if (!section.name.empty() && section.name != name)
        top.fault("service", "expected '" + std::string(name) +
                                 "' as in the section's name, found '" +
                                 section.name + '\'');
    section.id = top.integer<service_id>("id", 1).value_or(0);
    section.port = top.integer<std::uint16_t>("port", 1).value_or(0);
    unique_fields unique;
    auto const items = top.list("backend_servers");
    section.backend_servers.reserve(items.size());
    for (std::size_t n = 0; n < items.size(); ++n) {
        map_reader it(items[n], element_path("backend_servers", n), faults);
        section.backend_servers.push_back(read_backend(it, domains, unique));
    }
    top.finish();
    return section;
}

} // namespace radishspread::config::internal
