#include "rs_agent_fixture.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>
#include <variant>

#include <CppUTest/TestHarness.h>

using namespace radishspread;
using namespace radishspread::test;
using namespace std::chrono_literals;

namespace {

using request_name = std::pair<flow_id, request_id>;

/// A dispatch to which the backend server has not responded.
struct running_request {
    std::size_t agent = 0;
    dispatch_id id = 0;
    request_name name;
};

struct pending_message {
    endpoint to;
    std::variant<forward, handover, handover_reply> message;
};

/// Three agents, a network that loses, duplicates, delays and reorders their
/// messages, and callers that may use any cookie of their flow at any time.
class random_fleet {
public:
    explicit random_fleet(std::uint64_t seed) : random_(seed) {
        for (backend_id n = 1; n <= 3; ++n)
            agents_.push_back(std::make_unique<agent_driver>(n));
    }

    void run(int steps) {
        for (int i = 0; i < steps; ++i) {
            run_action(below(1000));
            for (std::size_t n = 0; n < agents_.size(); ++n)
                collect(n);
            for (auto n = below(4); n > 0 && !network_.empty(); --n)
                deliver_random_message();
        }
    }

    std::map<request_name, int> runs;
    std::set<request_name> not_run;
    std::size_t answers = 0;
    std::size_t moves = 0;
    std::size_t most_outstanding = 0;

private:
    std::size_t below(std::size_t n) {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
    }

    void run_action(std::size_t choice) {
        auto const n = below(agents_.size());
        if (choice < 20 && last_flow_ < 250)
            agents_[n]->receive(agent_driver::make_forward(
                {.kind = packet_kind::open, .flow = ++last_flow_}));
        else if (choice < 600)
            send_packet();
        else if (choice < 900)
            end_random_request();
        else if (choice < 980)
            advance_time();
        else if (choice < 990)
            drain(below(5));
        else if (choice < 994)
            agents_[n]->backend({.kind = backend_event_kind::closed});
        else if (choice < 996)
            restart(n);
    }

    void send_packet() {
        if (cookies_.empty())
            return;
        auto const& [flow, cookie] = cookies_[below(cookies_.size())];
        auto const highest = ++highest_[flow] / 8;
        auto message = agent_driver::make_request(
            cookie, flow, static_cast<request_id>(1 + highest + below(8)));
        if (below(20) == 0)
            message.packet.kind = packet_kind::cancel;
        if (below(400) == 0)
            message.packet.kind = packet_kind::close;
        // All copies of a request must agree on whether it is idempotent.
        message.packet.idempotent = message.packet.request % 4 == 0;
        post(cookie.agent, message);
    }

    void end_random_request() {
        if (running_.empty())
            return;
        auto const at = below(running_.size());
        auto const it = running_[at];
        running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(at));
        auto const choice = below(10);
        auto kind = backend_event_kind::responded;
        if (choice == 0)
            kind = backend_event_kind::lost;
        if (choice == 1)
            kind = backend_event_kind::refused;
        if (kind == backend_event_kind::refused)
            --runs[it.name];
        agents_[it.agent]->backend({.kind = kind, .id = it.id, .status = 200});
    }

    void drain(std::size_t id) {
        for (auto& it : agents_) {
            for (auto& entry : it->entries.backend_servers)
                entry.is_draining = entry.id == id;
            it->apply();
        }
    }

    void restart(std::size_t n) {
        auto const id = agents_[n]->entry().id;
        agents_[n] = std::make_unique<agent_driver>(
            id, ++last_incarnation_, agents_[n]->now);
        connects_[n] = 0;
    }

    void advance_time() {
        for (auto& it : agents_)
            it->wait(50ms);
    }

    template <class Message> void post(endpoint to, Message const& message) {
        auto const copies = below(10) == 0 ? 0 : 1 + below(5) / 4;
        for (std::size_t n = 0; n < copies; ++n)
            network_.push_back(std::make_shared<pending_message const>(
                pending_message{to, message}));
    }

    void deliver_random_message() {
        auto const at = below(network_.size());
        auto const it = network_[at];
        // Some messages stay in the network as copies that arrive much later.
        if (below(8) != 0)
            network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(at));
        for (auto& agent : agents_) {
            if (agent->entry().agent != it->to)
                continue;
            std::visit(
                [&](auto const& message) {
                    agent->core().handle(agent->now, message, agent->out);
                },
                it->message);
        }
    }

    void collect(std::size_t n) {
        auto& it = *agents_[n];
        if (connects_[n] != it.out.connects.size()) {
            connects_[n] = it.out.connects.size();
            std::erase_if(running_, [n](auto& old) { return old.agent == n; });
            it.connect();
        }
        auto out = std::exchange(it.out, {.connects = it.out.connects});
        for (auto& sent : out.forwards)
            post(sent.to, sent.message);
        for (auto& sent : out.handovers)
            post(sent.to, sent.message);
        for (auto& sent : out.handover_replies)
            post(sent.to, sent.message);
        for (auto& sent : out.replies)
            record_reply(sent.message.reply);
        for (auto const& sent : out.dispatches) {
            request_name const name{sent.flow, sent.request};
            ++runs[name];
            running_.push_back({n, sent.id, name});
        }
        most_outstanding = std::max(most_outstanding, it.core().outstanding());
    }

    void record_reply(caller_reply const& reply) {
        if (reply.cookie && reply.kind != reply_kind::reset)
            cookies_.emplace_back(reply.flow, *reply.cookie);
        if (reply.request != 0 && reply.outcome == outcome::not_run)
            not_run.insert({reply.flow, reply.request});
        answers += reply.kind == reply_kind::answer ? 1 : 0;
        moves += reply.kind == reply_kind::moved ? 1 : 0;
    }

    std::mt19937_64 random_;
    std::vector<std::unique_ptr<agent_driver>> agents_;
    std::array<std::size_t, 3> connects_{};
    std::vector<std::shared_ptr<pending_message const>> network_;
    std::vector<running_request> running_;
    std::vector<std::pair<flow_id, route_cookie>> cookies_;
    std::map<flow_id, std::size_t> highest_;
    flow_id last_flow_ = 0;
    incarnation_id last_incarnation_ = 5000;
};

} // namespace

TEST_GROUP(agent_random){};

// Guards against sequences of loss, duplication, handovers, restarts and
// cancels in which a non-idempotent request runs twice, a request runs although
// its outcome was `not_run`, or an agent exceeds its slots.
TEST(agent_random, any_order_of_events_keeps_invariants) {
    std::size_t answers = 0;
    std::size_t moves = 0;
    std::size_t refusals = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        random_fleet fleet(seed);
        fleet.run(4000);
        for (auto const& [name, count] : fleet.runs) {
            bool const is_idempotent = name.second % 4 == 0;
            CHECK_TRUE(count <= 1 || is_idempotent);
            CHECK_TRUE(count == 0 || !fleet.not_run.contains(name));
        }
        CHECK_TRUE(fleet.most_outstanding <= slots);
        answers += fleet.answers;
        moves += fleet.moves;
        refusals += fleet.not_run.size();
    }
    // Ensures that the run covers answers, handovers and refusals.
    CHECK_TRUE(answers > 1000);
    CHECK_TRUE(moves > 100);
    CHECK_TRUE(refusals > 100);
}
