// A backend: the server's end of the flows.
#ifndef REVIEW_2_BACKEND_HPP
#define REVIEW_2_BACKEND_HPP

#include "packet.hpp"

#include <memory>
#include <random>

namespace standin {

/// Takes flows at its `app` address and sends all its packets to the
/// `outbound` address of the daemon beside it. A request is one packet, and so
/// is its response.
class backend {
public:
    struct options {
        std::string name;
        address app;
        address outbound;
        ms work{5};
    };

    backend(loop& events, record& log, options const& it)
        : loop_(events), record_(log), options_(it),
          socket_(events, it.app, [this](auto data, auto const& from) {
              if (auto const in = decode(data);
                  in && from.ip == options_.app.ip)
                  receive(*in);
          }) {}

    [[nodiscard]] std::string const& name() const { return options_.name; }
    [[nodiscard]] unsigned opened() const { return opened_; }

    /// Called for each opening that the backend takes.
    std::function<void(flow_key const&)> on_opening;
    /// Called for each request that it runs.
    std::function<void(flow_key const&, std::string const&)> on_run;

private:
    struct flow {
        bool is_open = false;
        bool has_ended = false;
        bool peer_finished = false;
        std::uint32_t next_seq = 0; ///< Of the backend's next byte.
        std::uint32_t next_peer = 0;
        std::uint32_t acked = 0;
        std::uint32_t first_seq = 0;
        std::string unacked; ///< Last response.
        std::uint32_t unacked_seq = 0;
    };

    void receive(packet const& in) {
        flow_key const key{.client = in.from, .route = in.to};
        if (in.sum != sum_of(in))
            return record_.line(name() + " takes no altered packet");
        if (in.has(flag_syn) && !in.has(flag_ack))
            return open(key, in);
        auto const found = flows_.find(key);
        if (found == flows_.end())
            return bounce(in);
        auto& it = found->second;
        if (!it.is_open && in.ack != it.first_seq + 1)
            return bounce(in); // The flow is another backend's.
        it.is_open = true;
        if (in.has(flag_rst)) {
            flows_.erase(found);
            return;
        }
        it.acked = in.ack;
        if (!it.unacked.empty() && in.ack == it.unacked_seq + it.unacked.size())
            it.unacked.clear();
        if (it.has_ended && !in.data.empty())
            return send(key, it, flag_rst, {});
        if (!in.data.empty())
            take_data(key, it, in);
        if (in.has(flag_fin))
            finish(key, it, in);
    }

    void open(flow_key const& key, packet const& in) {
        auto const [found, is_new] = flows_.try_emplace(key);
        auto& it = found->second;
        if (is_new) {
            it.first_seq = static_cast<std::uint32_t>(random_());
            it.next_seq = it.first_seq + 1;
            it.next_peer = in.seq + 1;
            ++opened_;
            if (on_opening)
                on_opening(key);
        }
        packet out{.from = key.route,
            .to = key.client,
            .seq = it.first_seq,
            .ack = it.next_peer,
            .flags = flag_syn | flag_ack,
            .data = {}};
        socket_.send(options_.outbound, sealed(out));
    }

    void take_data(flow_key const& key, flow& it, packet const& in) {
        if (in.seq != it.next_peer) { // A copy: acknowledged again.
            if (it.unacked.empty())
                send(key, it, flag_ack, {});
            return;
        }
        it.next_peer += static_cast<std::uint32_t>(in.data.size());
        record_.line(name() + " runs " + in.data);
        if (on_run)
            on_run(key, in.data);
        loop_.after(options_.work, [this, key, request = in.data] {
            auto const found = flows_.find(key);
            if (found == flows_.end() || found->second.has_ended)
                return;
            auto& it = found->second;
            it.unacked = "response to " + request;
            it.unacked_seq = it.next_seq;
            it.next_seq += static_cast<std::uint32_t>(it.unacked.size());
            respond(key, it.unacked_seq, ms(200), 8);
        });
    }

    void respond(
        flow_key const& key, std::uint32_t seq, ms wait, unsigned left) {
        auto const found = flows_.find(key);
        if (found == flows_.end() || found->second.unacked.empty() ||
            found->second.unacked_seq != seq || left == 0)
            return;
        packet out{.from = key.route,
            .to = key.client,
            .seq = seq,
            .ack = found->second.next_peer,
            .flags = flag_ack,
            .data = found->second.unacked};
        socket_.send(options_.outbound, sealed(out));
        loop_.after(wait, [this, key, seq, wait, left] {
            respond(key, seq, std::min(wait * 2, ms(1600)), left - 1);
        });
    }

    void finish(flow_key const& key, flow& it, packet const& in) {
        if (!it.has_ended) {
            it.next_peer =
                in.seq + static_cast<std::uint32_t>(in.data.size()) + 1;
            it.has_ended = true;
            send(key, it, flag_ack | flag_fin, {});
            ++it.next_seq;
        } else {
            send(key, it, flag_ack, {});
        }
    }

    void send(flow_key const& key, flow const& it, std::uint8_t flags,
        std::string const& data) {
        packet out{.from = key.route,
            .to = key.client,
            .seq = it.next_seq,
            .ack = it.next_peer,
            .flags = static_cast<std::uint8_t>(flags | flag_ack),
            .data = data};
        socket_.send(options_.outbound, sealed(out));
    }

    void bounce(packet in) {
        in.flags |= flag_bounced;
        in.pad = 0;
        socket_.send(options_.outbound, encode(in));
    }

    loop& loop_;
    record& record_;
    options options_;
    std::mt19937 random_{std::random_device{}()};
    std::map<flow_key, flow> flows_;
    unsigned opened_ = 0;
    datagram_socket socket_;
};

} // namespace standin

#endif
