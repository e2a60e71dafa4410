// A small deployment on loopback addresses: store, routers, daemons, backends
// and clients.
#ifndef REVIEW_2_FLEET_HPP
#define REVIEW_2_FLEET_HPP

#include "backend.hpp"
#include "client.hpp"
#include "store.hpp"

#include <deque>
#include <filesystem>
#include <fstream>

namespace standin {

/// A machine of the class `front` or `side` with its daemon.
struct machine {
    std::string name;
    std::string zone;
    std::uint32_t ip = 0;
    address door; ///< Of the store, for this machine.
    std::unique_ptr<child> daemon;
    // Of a `front` machine:
    bool is_in_rotation = false;
    unsigned misses = 0;
    // Of a `side` machine:
    std::unique_ptr<backend> server;
    std::string server_id;
    std::string service;
    std::uint64_t born = 0;
};

class fleet {
public:
    fleet(std::string program, std::string folder, std::string const& log)
        : log(events, log), program_(std::move(program)),
          folder_(std::move(folder)) {
        choose_ports();
        seeds = {at(1, 1), at(1, 2)};
        center = std::make_unique<store>(events);
    }

    machine& add_front(std::string const& zone) {
        auto& it = fronts.emplace_back();
        it.name = "front-" + std::to_string(fronts.size());
        it.zone = zone;
        it.ip = at(1, static_cast<unsigned>(fronts.size()));
        add_daemon(it, "balancer", {});
        return it;
    }

    machine& add_side(
        std::string const& zone, std::string const& service, ms work = ms(5)) {
        auto& it = sides.emplace_back();
        it.name = "side-" + std::to_string(sides.size());
        it.zone = zone;
        it.service = service;
        it.ip = at(2, static_cast<unsigned>(sides.size()));
        it.server_id = "i-" + std::to_string(1000 + sides.size());
        add_daemon(it, "agent",
            "backend_address: \"" + text(address{it.ip, port(3)}) +
                "\"\noutbound_address: \"" + text(address{it.ip, port(4)}) +
                "\"\nservice: \"" + service + "\"\n");
        it.server = std::make_unique<backend>(events, log,
            backend::options{.name = it.server_id,
                .app = {it.ip, port(3)},
                .outbound = {it.ip, port(4)},
                .work = work});
        return it;
    }

    /// Names a seed node that is no longer there: connections to it hang.
    void add_stale_seed() {
        auto const ip = at(7, static_cast<unsigned>(seeds.size()) + 1);
        new_listener({ip, port(2)}); // Never accepts.
        seeds.push_back(ip);
    }

    client& add_client() {
        auto const ip = at(3, static_cast<unsigned>(clients.size()) + 1);
        clients.push_back(std::make_unique<client>(events, log,
            address{ip, port(0)}, [this](auto const& flow, auto const& data) {
                return route(flow, data);
            }));
        return *clients.back();
    }

    /// Address of a route; packets name it, and nobody listens there.
    [[nodiscard]] address route_address(unsigned n) const {
        return {at(8, n), 8443};
    }

    /// Writes the entry of a backend.
    void announce(machine& it, long warmup_left_ms = 0,
        std::string const& state = "ready") {
        if (it.born == 0)
            it.born = unix_ms();
        center->put("servers/" + it.server_id,
            R"({"service":")" + it.service + R"(","address":")" +
                text(address{it.ip, port(3)}) + R"(","zone":")" + it.zone +
                R"(","version":"v1","slots":8,"state":")" + state +
                R"(","warmup-left-ms":)" + std::to_string(warmup_left_ms) +
                R"(,"sequence":1,"born":)" + std::to_string(it.born) + "}");
    }

    static std::uint64_t unix_ms() {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<ms>(
            std::chrono::system_clock::now().time_since_epoch())
                                              .count());
    }

    /// The daemon ends by SIGKILL and starts again after a short delay.
    void kill_daemon(machine& it) {
        log.line("kill " + it.name);
        it.daemon->end(SIGKILL);
        events.after(restart_delay, [this, &it] {
            log.line("start " + it.name);
            it.daemon->start();
        });
    }

    /// The daemon is told to stop, ends, and starts again after a short delay.
    void roll_daemon(machine& it, ms delay) {
        log.line("SIGTERM to " + it.name);
        it.daemon->end(SIGTERM);
        log.line(it.name + " has ended");
        events.after(delay, [this, &it] {
            log.line("start " + it.name);
            it.daemon->start();
        });
    }

    /// Polls the daemons' readiness, as the routers do.
    void start_polls() {
        events.every(ms(500), [this] {
            for (auto& it : fronts)
                poll(it);
        });
    }

    [[nodiscard]] bool are_fronts_ready() const {
        return std::all_of(fronts.begin(), fronts.end(),
            [](auto const& it) { return it.is_in_rotation; });
    }

    /// Index of the front machine that the routers select for the flow; -1 if
    /// there is none.
    [[nodiscard]] int select(flow_key const& flow) const {
        std::vector<int> ready;
        for (std::size_t n = 0; n != fronts.size(); ++n)
            if (fronts[n].is_in_rotation)
                ready.push_back(static_cast<int>(n));
        if (ready.empty())
            return -1;
        std::uint32_t hash = 2166136261U;
        for (auto const value :
            {flow.client.ip, flow.route.ip, std::uint32_t{flow.client.port},
                std::uint32_t{flow.route.port}})
            hash = (hash ^ value) * 16777619U;
        return ready[(hash >> 8U) % ready.size()];
    }

    std::vector<std::uint32_t> seeds; ///< Hosts of the seed nodes.
    loop events;
    record log;
    std::unique_ptr<store> center;
    std::deque<machine> fronts;
    std::deque<machine> sides;
    std::vector<std::unique_ptr<client>> clients;

    static constexpr ms restart_delay{400};

private:
    [[nodiscard]] std::uint32_t at(unsigned net, unsigned host) const {
        return ip(127, network_, net, host);
    }
    /// 0: packets, 1: readiness, 2: peers, 3: `app`, 4: `outbound`, 5: store,
    /// 6: control.
    [[nodiscard]] std::uint16_t port(unsigned n) const {
        return static_cast<std::uint16_t>(port_ + n);
    }

    void choose_ports() {
        std::random_device random;
        network_ = 64 + random() % 64;
        port_ = static_cast<std::uint16_t>(12000 + random() % 18000);
    }

    void add_daemon(
        machine& it, std::string const& role, std::string const& more) {
        auto const file = folder_ + "/" + it.name + ".yaml";
        it.door = {at(9, ++doors_), port(5)};
        center->open_door(it.door);
        std::string peers;
        for (auto const seed : seeds)
            peers += (peers.empty() ? "\"" : ", \"") +
                     text(address{seed, port(6)}) + "\"";
        std::ofstream out(file);
        out << "role: " << role << "\nname: \"" << it.name
            << "\"\nfailure_domain: \"" << it.zone << "\"\npacket_address: \""
            << text(address{it.ip, port(0)}) << "\"\nreadiness_address: \""
            << text(address{it.ip, port(1)}) << "\"\npeer_port: " << port(2)
            << "\n"
            << (role == "balancer" ? "link_mbit_per_s: 1000.0\n" : "")
            << "drain_bound_ms: 3000\nmax_item_bytes: 1048576\n"
            << "reads_per_s: 2000\nconfiguration_service: \"" << text(it.door)
            << "\"\npeers: [" << peers << "]\n"
            << more;
        out.close();
        it.daemon = std::make_unique<child>(
            program_, role, file, folder_ + "/" + it.name + ".log");
    }

    int route(flow_key const& flow, std::string const& data) {
        int const n = select(flow);
        if (n >= 0)
            router_.send(
                {fronts[static_cast<std::size_t>(n)].ip, port(0)}, data);
        return n;
    }

    void poll(machine& it) {
        int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        // Loopback connections succeed or fail at once.
        auto const name = native({it.ip, port(1)});
        bool const is_connected =
            connect(
                fd, reinterpret_cast<sockaddr const*>(&name), sizeof name) == 0;
        std::string const call = "GET /api/readiness HTTP/1.1\r\nHost: "
                                 "readiness\r\n\r\n";
        if (!is_connected ||
            ::send(fd, call.data(), call.size(), MSG_NOSIGNAL) < 0) {
            close(fd);
            return note_poll(it, false);
        }
        fcntl(fd, F_SETFL, O_NONBLOCK);
        auto const is_done = std::make_shared<bool>(false);
        events.watch(fd, [this, &it, fd, is_done] {
            char buf[512] = {};
            auto const n = read(fd, buf, sizeof buf - 1);
            finish_poll(it, fd, is_done,
                n > 12 && std::string(buf).starts_with("HTTP/1.1 200"));
        });
        events.after(ms(450),
            [this, &it, fd, is_done] { finish_poll(it, fd, is_done, false); });
    }

    void finish_poll(machine& it, int fd, std::shared_ptr<bool> const& is_done,
        bool is_ready) {
        if (std::exchange(*is_done, true))
            return;
        events.forget(fd);
        close(fd);
        note_poll(it, is_ready);
    }

    void note_poll(machine& it, bool is_ready) {
        it.misses = is_ready ? 0 : it.misses + 1;
        bool const is_in = is_ready || (it.is_in_rotation && it.misses < 2);
        if (std::exchange(it.is_in_rotation, is_in) != is_in)
            log.line(
                it.name + (is_in ? " joins" : " leaves") + " the rotation");
    }

    std::string program_;
    std::string folder_;
    unsigned network_ = 0;
    std::uint16_t port_ = 0;
    unsigned doors_ = 0;
    datagram_socket router_{events, {ip(127, 0, 0, 1), 0}, [](auto, auto&) {
                            }};
};

} // namespace standin

#endif
