// Clients: the callers' end of the flows.
#ifndef REVIEW_2_CLIENT_HPP
#define REVIEW_2_CLIENT_HPP

#include "packet.hpp"

#include <memory>
#include <random>

namespace standin {

/// One flow of a client.
struct client_flow {
    enum class state { opening, open, refused, reset, ended, given_up };

    flow_key key;
    state now = state::opening;
    instant opened_at;
    instant first_sent_at;
    int first_machine = -1; ///< That took the first copy of the opening.
    std::uint32_t next_seq = 0;
    std::uint32_t next_peer = 0;
    std::string request; ///< Waits for its response.
    std::uint32_t request_seq = 0;
    unsigned served = 0;
    /// Called with the response, or empty if the request has failed.
    std::function<void(std::string const&)> on_answer;
    std::function<void()> on_open;
};
using client_flow_pointer = std::shared_ptr<client_flow>;

/// A client at one address, which opens flows through the routers.
class client {
public:
    /// Sends a packet to the routers; returns the machine that gets it.
    using router = std::function<int(flow_key const&, std::string const&)>;

    client(loop& events, record& log, address const& at, router send)
        : loop_(events), record_(log), at_(at), send_(std::move(send)),
          socket_(events, at, [this](auto data, auto const&) {
              if (auto const in = decode(data))
                  receive(*in);
          }) {}

    client_flow_pointer open(
        address const& route, std::function<void()> const& on_open) {
        auto const it = std::make_shared<client_flow>();
        it->key = {.client = {at_.ip, next_port_++}, .route = route};
        it->next_seq = static_cast<std::uint32_t>(random_());
        it->on_open = on_open;
        it->first_sent_at = clock::now();
        flows_[it->key] = it;
        send_opening(it, 0);
        return it;
    }

    /// Sends a request on an open flow that has none.
    void ask(client_flow_pointer const& it, std::string const& request,
        std::function<void(std::string const&)> const& on_answer) {
        it->request = request;
        it->request_seq = it->next_seq;
        it->next_seq += static_cast<std::uint32_t>(request.size());
        it->on_answer = on_answer;
        record_.line(name(*it) + " asks " + request);
        send_request(it, request, ms(200));
        loop_.after(time_limit, [it, request] {
            if (it->request == request)
                it->now = client_flow::state::given_up, fail(it);
        });
    }

    void finish(client_flow_pointer const& it) {
        if (it->now != client_flow::state::open)
            return;
        it->now = client_flow::state::ended;
        send(*it, flag_fin | flag_ack, {}, it->next_seq);
        loop_.after(ms(3000), [this, key = it->key] { flows_.erase(key); });
    }

    static std::string name(client_flow const& it) {
        return text(it.key.client) + " to " + text(it.key.route);
    }

    /// Called when the system resets a flow: one that was open, or an opening.
    std::function<void(client_flow_pointer const&, bool was_open)> on_reset;

    static constexpr ms time_limit{2000};

private:
    using state = client_flow::state;

    void send_opening(client_flow_pointer const& it, std::uint32_t copy) {
        if (it->now != state::opening)
            return;
        packet out{.from = it->key.client,
            .to = it->key.route,
            .seq = it->next_seq,
            .ack = copy,
            .flags = flag_syn,
            .data = {}};
        int const machine = send_(it->key, sealed(out));
        if (copy == 0)
            it->first_machine = machine;
        if (copy < 2)
            loop_.after(copy == 0 ? ms(200) : ms(400),
                [this, it, copy] { send_opening(it, copy + 1); });
        else
            loop_.after(ms(800), [this, it] {
                if (it->now != state::opening)
                    return;
                it->now = state::given_up;
                record_.line(name(*it) + " gives up its opening");
            });
    }

    void send_request(
        client_flow_pointer const& it, std::string const& request, ms wait) {
        if (it->now != state::open || it->request != request)
            return;
        send(*it, flag_ack, request, it->request_seq);
        loop_.after(wait, [this, it, request, wait] {
            send_request(it, request, std::min(wait * 2, ms(1600)));
        });
    }

    void send(client_flow const& it, std::uint8_t flags,
        std::string const& data, std::uint32_t seq) const {
        packet out{.from = it.key.client,
            .to = it.key.route,
            .seq = seq,
            .ack = it.next_peer,
            .flags = flags,
            .data = data};
        send_(it.key, sealed(out));
    }

    void receive(packet const& in) {
        auto const found = flows_.find({.client = in.to, .route = in.from});
        if (found == flows_.end())
            return;
        auto const it = found->second;
        if (in.has(flag_rst))
            return take_reset(it, in);
        if (in.sum != sum_of(in))
            return record_.line(name(*it) + " gets an altered packet");
        if (in.has(flag_syn)) {
            if (it->now != state::opening)
                return;
            it->now = state::open;
            it->opened_at = clock::now();
            ++it->next_seq;
            it->next_peer = in.seq + 1;
            send(*it, flag_ack, {}, it->next_seq);
            if (it->on_open)
                it->on_open();
            return;
        }
        if (in.has(flag_fin)) {
            it->next_peer = in.seq + 1;
            send(*it, flag_ack, {}, it->next_seq + 1);
            return;
        }
        if (in.data.empty() || it->now != state::open)
            return;
        bool const is_new = in.seq == it->next_peer;
        if (is_new)
            it->next_peer += static_cast<std::uint32_t>(in.data.size());
        send(*it, flag_ack, {}, it->next_seq);
        if (!is_new || it->request.empty())
            return;
        ++it->served;
        record_.line(name(*it) + " gets " + in.data);
        it->request.clear();
        if (auto const call = std::exchange(it->on_answer, nullptr))
            call(in.data);
    }

    // On an open flow a reset counts if it lies in the window, as the page on
    // the protocol says.
    void take_reset(client_flow_pointer const& it, packet const& in) {
        constexpr std::uint32_t window = 76'800;
        bool const was_open = it->now == state::open;
        bool const is_in_window = in.seq - it->next_peer + window <= 2 * window;
        if ((it->now != state::opening && !was_open) ||
            (was_open && !is_in_window))
            return;
        bool const is_of_system = in.sum == 0;
        it->now = was_open ? state::reset : state::refused;
        record_.line(
            name(*it) +
            (was_open ? " is reset, open for " : " is refused after ") +
            std::to_string(std::chrono::duration_cast<ms>(
                clock::now() - (was_open ? it->opened_at : it->first_sent_at))
                               .count()) +
            " ms" + (is_of_system ? ", by the system" : ""));
        if (is_of_system && on_reset)
            on_reset(it, was_open);
        fail(it);
    }

    static void fail(client_flow_pointer const& it) {
        it->request.clear();
        if (auto const call = std::exchange(it->on_answer, nullptr))
            call({});
    }

    loop& loop_;
    record& record_;
    address at_;
    router send_;
    std::uint16_t next_port_ = 1024;
    std::mt19937 random_{std::random_device{}()};
    std::map<flow_key, client_flow_pointer> flows_;
    datagram_socket socket_;
};

} // namespace standin

#endif
