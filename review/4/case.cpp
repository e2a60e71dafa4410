// A change of a route's weights while clients have flows open.
#include "../1/standins/fleet.hpp"

using namespace review;

int main(int argc, char** argv) {
    fleet it(argc, argv);
    endpoint const address{.address = 0xc6120001, .port = 8443};
    std::vector<route> const before{{.address = address,
        .services = {{.name = "meadow", .weight = 90},
            {.name = "orchard", .weight = 10}}}};
    std::vector<route> const after{{.address = address,
        .services = {{.name = "meadow", .weight = 10},
            {.name = "orchard", .weight = 90}}}};
    it.put_manifest(7, before);
    for (char const* const zone : {"a", "b", "c"}) {
        it.add_balancer(zone);
        for (char const* const service : {"meadow", "orchard"})
            it.add_backend(service, zone);
    }
    it.require_ready();
    auto& events = it.events();
    auto& caller = it.add_client("feed");
    std::vector<std::shared_ptr<client_flow>> flows;
    for (int n = 0; n != 20; ++n)
        flows.push_back(caller.open(address));
    events.run_for(milliseconds(1000));
    auto const ask_all = [&] {
        for (auto const& flow : flows)
            if (flow->now == client_flow::state::open &&
                flow->outstanding.empty())
                caller.request(flow);
        events.run_for(milliseconds(1000));
    };
    for (int n = 0; n != 3; ++n)
        ask_all();
    if (caller.answered() != 60)
        return it.log().line("could not run: flows did not open"), 2;
    if (it.has_trouble())
        it.put_manifest(9, after);
    events.run_for(milliseconds(500));
    for (int n = 0; n != 6; ++n)
        ask_all();
    std::size_t reset = 0;
    for (auto const& flow : flows)
        reset +=
            flow->was_reset_by_system && it.holder_of(flow->key) != nullptr;
    return it.finish(reset == 0,
        std::to_string(reset) +
            " of 20 open flows were reset by the system while the backend "
            "server that holds them lives; " +
            std::to_string(caller.answered()) + " of " +
            std::to_string(caller.asked()) + " requests answered");
}
