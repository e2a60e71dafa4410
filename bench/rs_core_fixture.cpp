#include <bench/rs_core_fixture.hpp>

namespace radishspread::bench {

namespace {

constexpr endpoint self{0x7f000001, 7000};
constexpr endpoint caller{0x7f000001, 4000};

template <class Content>
section_ptr make_section(std::string const& name, Content content) {
    return std::make_shared<section const>(
        section{.name = name, .held = 1, .content = std::move(content)});
}

} // namespace

std::vector<section_ptr> make_sections(fakes::deployment const& fleet) {
    std::vector<section_ptr> result;
    result.push_back(make_section("domains", fakes::make_domains(fleet)));
    for (service_id id = 1; id <= fleet.backends_per_service.size(); ++id) {
        auto service = fakes::make_service(fleet, id);
        auto const name = "service/" + service.name;
        result.push_back(make_section(name, std::move(service)));
    }
    return result;
}

fakes::deployment sized_fleet(std::uint32_t services, std::uint32_t backends) {
    auto result = fakes::balkonbloei();
    result.backends_per_service.assign(services, backends / services);
    for (std::uint32_t n = 0; n < backends % services; ++n)
        ++result.backends_per_service[n];
    return result;
}

fakes::deployment current_fleet() {
    return fakes::balkonbloei();
}

fakes::deployment target_fleet() {
    return sized_fleet(450, 5200);
}

proven_balancer::proven_balancer(std::vector<section_ptr> const& sections)
    : core_(std::make_unique<balancer>(balancer_options{
          .document = {.self = self, .is_balancer = true}, .key = bench_key})) {
    core_->start(now, sink);
    std::vector<digest_entry> index;
    index.reserve(sections.size());
    for (auto const& it : sections)
        index.push_back({it->name, it->held});
    core_->handle(now, watch_event{.index = 1, .changes = index}, sink);
    for (auto const& it : sections)
        apply(it);
    tick();
}

void proven_balancer::apply(section_ptr const& value) {
    core_->handle(now, section_event{.value = value}, sink);
}

caller_packet_event make_opening(flow_id flow) {
    return {.port_service = 1,
        .caller = caller,
        .packet = {.service = 1, .flow = flow}};
}

caller_packet_event make_established(flow_id flow) {
    route_cookie cookie{.key_id = 1,
        .domain = 1,
        .service = 1,
        .agent = fakes::agent_endpoint(1),
        .incarnation = 5,
        .opening = 6,
        .domains_revision = 1};
    cookie.tag = cookie_tag(
        bench_key, cookie, {.service = 1, .caller = caller, .flow = flow});
    return {.port_service = 1,
        .caller = caller,
        .packet = {.kind = packet_kind::request,
            .service = 1,
            .flow = flow,
            .cookie = cookie,
            .request = 3}};
}

} // namespace radishspread::bench
