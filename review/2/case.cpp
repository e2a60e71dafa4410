// An entry of another writer in the store whose value is deeply nested.
#include "../1/standins/fleet.hpp"

#include <algorithm>

using namespace review;

int main(int argc, char** argv) {
    constexpr unsigned depth = 300'000; // Bytes; `value-bytes` is 1,048,576.
    constexpr unsigned max_own_ends = 3;
    fleet it(argc, argv);
    endpoint const address{.address = 0xc6120001, .port = 8443};
    it.put_manifest(
        7, {{.address = address, .services = {{.name = "meadow"}}}});
    for (char const* const zone : {"a", "b", "c"}) {
        it.add_balancer(zone);
        it.add_backend("meadow", zone);
    }
    it.require_ready();
    auto& events = it.events();
    auto& caller = it.add_client("order");
    events.every(milliseconds(50), [&] { caller.request_once(address); });
    events.run_for(milliseconds(3000));
    if (caller.answered() == 0)
        return it.log().line("could not run: no request is answered"), 2;
    if (it.has_trouble()) {
        it.platform().put("servers/note-1", std::string(depth, '['));
        it.log().line("another writer puts the entry servers/note-1");
    }
    events.run_for(milliseconds(10'000));
    std::size_t machines = 0;
    std::size_t broken = 0;
    unsigned ends = 0;
    for (auto const* list : {&it.balancers(), &it.agents()})
        for (auto const* process : *list) {
            ++machines;
            ends += process->own_ends();
            broken += process->own_ends() >= max_own_ends;
        }
    bool const holds = broken < std::max<std::size_t>(2, machines / 10);
    return it.finish(holds,
        "on " + std::to_string(broken) + " of " + std::to_string(machines) +
            " machines the process ended by itself three times or more, " +
            std::to_string(ends) + " ends in all; " +
            std::to_string(caller.answered()) + " of " +
            std::to_string(caller.asked()) + " requests answered");
}
