#include <radishspread/config/internal/rs_map_reader.hpp>
#include <radishspread/config/internal/rs_section_readers.hpp>

#include <array>

namespace radishspread::config::internal {

namespace {

constexpr std::array<std::string_view, 2> states{"live", "leaving"};

} // namespace

hosts_section read_hosts(yaml_node const& root, fault_list& faults) {
    hosts_section section;
    map_reader top(root, {}, faults);
    unique_values<std::string> names;
    auto const items = top.list("hosts");
    for (std::size_t n = 0; n < items.size(); ++n) {
        map_reader it(items[n], element_path("hosts", n), faults);
        auto const name = it.name("name");
        auto const state = it.choice("state", states);
        it.finish();
        names.add(it, "name", name);
        section.hosts.push_back(
            {.name = name.value_or(""), .is_leaving = state == 1U});
    }
    top.finish();
    return section;
}

} // namespace radishspread::config::internal
