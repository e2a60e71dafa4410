#include <standins/rs_caller_fleet.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace radishspread::standins {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(10);
/// Mean delay before a caller opens a new flow in place of a lost one.
constexpr duration reopen_delay = std::chrono::milliseconds(300);
/// Maximum number of datagrams read in one callback, so that other event
/// sources are not starved.
constexpr int receive_batch = 64;

} // namespace

caller_fleet::caller_fleet(fabric& network, std::uint32_t address,
    std::size_t sockets, std::uint64_t seed, loss_predicate may_be_lost)
    : network_(network), may_be_lost_(std::move(may_be_lost)), random_(seed),
      encoder_(fleet_key{}) {
    for (std::size_t n = 0; n < sockets; ++n) {
        sockets_.push_back(bind_udp(address, 0));
        watches_.emplace_back(sockets_.back().get(), G_IO_IN,
            [this, n](GIOCondition) { receive(n); });
    }
}

void caller_fleet::start(std::vector<service_traffic> traffic) {
    traffic_ = std::move(traffic);
    last_tick_ = monotonic_now();
    for (auto const& it : traffic_) {
        for (std::size_t n = 0; n < it.long_flows; ++n)
            add_flow(it, true, last_tick_);
    }
    timer_ = call_every(tick_interval, [this] { tick(); });
}

caller_flow& caller_fleet::add_flow(
    service_traffic const& traffic, bool is_long, instant now) {
    caller_session_options options;
    options.service = traffic.service;
    options.flow = random_();
    auto const socket = random_() % sockets_.size();
    auto& flow = flows_.emplace_back(*this, options, socket, is_long);
    active_flows_[options.flow] = &flow;
    flow_sockets_[options.flow] = socket;
    flow.next_request_at = now + jittered(traffic.request_interval);
    flow.open(now);
    return flow;
}

void caller_fleet::tick() {
    auto const now = monotonic_now();
    if (!is_paused_)
        start_short_flows(now);
    last_tick_ = now;
    std::vector<std::size_t> reopen(traffic_.size());
    for (auto it = flows_.begin(); it != flows_.end();) {
        auto& flow = *it;
        flow.tick(now);
        send_due_request(flow, now);
        if (!is_finished(flow, now)) {
            ++it;
            continue;
        }
        if (!flow.session().is_lost())
            flow.close(now);
        if (flow.is_long())
            ++reopen[static_cast<std::size_t>(
                &traffic_of(flow) - traffic_.data())];
        active_flows_.erase(flow.options().flow);
        it = flows_.erase(it);
    }
    // Each long flow that has ended is replaced by a new one.
    for (std::size_t n = 0; n < reopen.size(); ++n) {
        for (; reopen[n] > 0; --reopen[n])
            add_flow(traffic_[n], true, now);
    }
}

bool caller_fleet::is_finished(caller_flow const& flow, instant now) {
    if (flow.has_timed_out)
        return true;
    if (flow.session().is_lost())
        return now >= flow.next_request_at;
    return !flow.is_long() && flow.requests_left == 0 &&
           flow.session().outstanding() == 0;
}

void caller_fleet::start_short_flows(instant now) {
    std::chrono::duration<double> const passed = now - last_tick_;
    for (auto const& it : traffic_) {
        std::poisson_distribution<int> arrivals(
            std::max(1e-9, it.short_flows_per_second * passed.count()));
        for (auto n = arrivals(random_); n > 0; --n) {
            auto& flow = add_flow(it, false, now);
            flow.requests_left = 1 + random_() % 3;
            flow.next_request_at = now;
            ++totals_.short_flows;
        }
    }
}

void caller_fleet::send_due_request(caller_flow& flow, instant now) {
    if (now < flow.next_request_at || !flow.session().is_open() ||
        (is_paused_ && flow.is_long()))
        return;
    auto const& traffic = traffic_of(flow);
    // A long flow has at most one outstanding request, so that it can be
    // handed over between requests.
    if (flow.session().outstanding() > 0 ||
        (!flow.is_long() && flow.requests_left == 0))
        return;
    ++totals_.requests;
    if (!flow.request(now, make_request(traffic), traffic.deadline))
        --totals_.requests;
    flow.next_request_at = now + jittered(traffic.request_interval);
    if (!flow.is_long()) {
        --flow.requests_left;
        flow.next_request_at = now;
    }
}

service_traffic const& caller_fleet::traffic_of(caller_flow const& flow) const {
    return *std::find_if(traffic_.begin(), traffic_.end(),
        [&](auto const& it) { return it.service == flow.options().service; });
}

request_text caller_fleet::make_request(service_traffic const& traffic) {
    std::bernoulli_distribution idempotent(traffic.idempotent_share);
    std::uniform_int_distribution<std::uint32_t> size(
        1, traffic.max_answer_size);
    return {++last_identity_, traffic.service, idempotent(random_),
        size(random_), traffic.work_ms};
}

duration caller_fleet::jittered(duration mean) {
    std::uniform_int_distribution<duration::rep> value(
        mean.count() / 2, mean.count() * 3 / 2);
    return duration(value(random_));
}

void caller_fleet::send(caller_flow& flow, caller_packet const& packet) {
    network_.send(sockets_[flow.socket()].get(), traffic_of(flow).port,
        encoder_.encode(packet));
}

void caller_fleet::finished(caller_flow& flow, request_text const& request,
    finished_request const& result) {
    if (result.result == request_result::not_run) {
        ++totals_.not_run;
        reported_not_run_.push_back(request.identity);
        return;
    }
    if (result.result == request_result::unknown) {
        ++totals_.unknown;
        // A missed deadline on a long flow means that no agent serves it any
        // more, so the caller opens a new flow.
        if (result.reason == reason::deadline_exceeded && flow.is_long()) {
            flow.has_timed_out = true;
            lost(flow, result.reason);
        }
        return;
    }
    ++totals_.answered;
    flow.last_answer_at = monotonic_now();
    if (result.status != 200) {
        ++totals_.failed;
        return;
    }
    auto const expected = make_answer(request);
    auto const bytes = std::as_bytes(std::span(expected));
    if (answer_identity(result.body) != request.identity)
        ++totals_.wrong_caller;
    else if (!std::equal(bytes.begin(), bytes.end(), result.body.begin(),
                 result.body.end()))
        ++totals_.incomplete;
}

void caller_fleet::lost(caller_flow& flow, reason why) {
    flow.next_request_at = monotonic_now() + jittered(reopen_delay);
    if (!flow.cookie()) {
        ++totals_.unopened;
    } else if (may_be_lost_(*flow.cookie())) {
        ++totals_.abandoned;
    } else {
        ++totals_.broken;
        totals_.last_broken_reason = why;
    }
}

void caller_fleet::receive(std::size_t socket) {
    std::array<std::byte, 2048> buf; // NOLINT: filled by recvfrom
    for (int n = 0; n < receive_batch; ++n) {
        sockaddr_in from{};
        socklen_t length = sizeof from;
        auto const size = recvfrom(sockets_[socket].get(), buf.data(),
            buf.size(), 0, reinterpret_cast<sockaddr*>(&from), &length);
        if (size < 0)
            return;
        caller_reply reply;
        auto const data = std::span(buf).first(static_cast<std::size_t>(size));
        if (!wire::decode(data, reply) && !network_.should_drop_reply())
            handle_reply(socket, to_endpoint(from), reply);
    }
}

void caller_fleet::handle_reply(
    std::size_t socket, endpoint from, caller_reply const& reply) {
    auto const entry = flow_sockets_.find(reply.flow);
    if (entry == flow_sockets_.end() || entry->second != socket) {
        ++totals_.wrong_caller;
        return;
    }
    auto const it = active_flows_.find(reply.flow);
    if (it == active_flows_.end())
        return;
    auto& flow = *it->second;
    // Replies are valid only if they come from the port of the flow's service.
    if (reply.service != flow.options().service ||
        from.port != traffic_of(flow).port) {
        ++totals_.wrong_caller;
        return;
    }
    bool const was_open = flow.session().is_open();
    flow.handle(monotonic_now(), reply);
    if (!was_open && flow.session().is_open() && flow.is_long())
        ++totals_.long_flows;
}

std::size_t caller_fleet::outstanding() const {
    std::size_t n = 0;
    for (auto const& flow : flows_)
        n += flow.session().outstanding();
    return n;
}

std::size_t caller_fleet::open_flows() const {
    return static_cast<std::size_t>(
        std::count_if(flows_.begin(), flows_.end(), [](auto const& flow) {
            return flow.is_long() && flow.session().is_open();
        }));
}

std::size_t caller_fleet::unanswered_flows(instant from) const {
    return static_cast<std::size_t>(
        std::count_if(flows_.begin(), flows_.end(), [&](auto const& flow) {
            return flow.is_long() && flow.last_answer_at < from;
        }));
}

void caller_fleet::count_unanswered_as_broken(instant from) {
    totals_.broken += unanswered_flows(from);
}

std::size_t caller_fleet::false_refusals(run_history const& history) const {
    return static_cast<std::size_t>(
        std::count_if(reported_not_run_.begin(), reported_not_run_.end(),
            [&](auto id) { return history.runs_of(id) > 0; }));
}

std::size_t caller_fleet::flows_at(endpoint agent) const {
    return static_cast<std::size_t>(
        std::count_if(flows_.begin(), flows_.end(), [&](auto const& flow) {
            return flow.is_long() && flow.session().is_open() &&
                   flow.cookie()->agent == agent;
        }));
}

std::size_t caller_fleet::flows_in(domain_id domain) const {
    return static_cast<std::size_t>(
        std::count_if(flows_.begin(), flows_.end(), [&](auto const& flow) {
            return flow.is_long() && flow.session().is_open() &&
                   flow.cookie()->domain == domain;
        }));
}

} // namespace radishspread::standins
