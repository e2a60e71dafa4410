#include <fakes/rs_fake_backend.hpp>
#include <fakes/rs_payload.hpp>

#include <algorithm>

namespace radishspread::fakes {

using namespace std::chrono_literals;

namespace {
constexpr duration link_delay = 100us;
} // namespace

fake_backend::fake_backend(
    event_queue& queue, observations& log, fake_backend_options options)
    : queue_(queue), log_(log), options_(options), random_(options.seed) {}

void fake_backend::connect(std::uint64_t connection, event_handler handler) {
    handler_ = std::move(handler);
    connection_ = connection;
    ++session_;
    bool const is_up = queue_.now() >= crashed_until_;
    report(session_, {.kind = is_up ? backend_event_kind::connected
                                    : backend_event_kind::closed,
                         .max_streams = 100});
}

void fake_backend::disconnect() {
    // A server aborts the requests of a connection that the agent closes.
    std::erase_if(
        runs_, [&](auto const& it) { return it.second.session == session_; });
    ++session_;
}

void fake_backend::ping() {
    report(session_, {.kind = backend_event_kind::progress});
}

void fake_backend::make_unresponsive() {
    unresponsive_session_ = session_;
    // The server ends these runs by its own timeout, and their responses are
    // lost.
    runs_.clear();
}

void fake_backend::report(
    std::uint64_t session, backend_event event, std::vector<std::byte> body) {
    event.connection = connection_;
    queue_.after(link_delay, [this, session, event,
                                 body = std::move(body)]() mutable {
        if (session == session_ && session != unresponsive_session_ && handler_)
            handler_(event, std::move(body));
    });
}

std::uint32_t fake_backend::capacity() const {
    if (!is_cold())
        return options_.slots;
    // The capacity grows twice as fast as the bound of an agent may, so it is
    // exceeded only by an agent that ignores its own bound.
    std::uint32_t bound = std::max(1U, options_.slots / 8);
    std::uint32_t left = finished_since_cold_;
    while (bound < options_.slots && left >= 2 * bound) {
        left -= 2 * bound;
        ++bound;
    }
    return bound;
}

bool fake_backend::is_cold() const {
    return is_cold_ && finished_since_cold_ <
                           2 * options_.slots * std::max(2U, options_.slots);
}

std::uint32_t fake_backend::occupied() const {
    return static_cast<std::uint32_t>(runs_.size());
}

std::vector<identity> fake_backend::running() const {
    std::vector<identity> ids;
    for (auto const& [id, it] : runs_)
        ids.push_back(it.id);
    return ids;
}

duration fake_backend::run_duration() {
    std::uniform_real_distribution<double> spread(0.7, 1.3);
    double const slowdown = is_cold() ? 5.0 : 1.0;
    return std::chrono::duration_cast<duration>(
        options_.run_time * slowdown * spread(random_));
}

void fake_backend::reject(dispatch_id id) {
    bool const is_refused = ++shed_count_ % 2 == 0;
    report(session_, {.kind = is_refused ? backend_event_kind::refused
                                         : backend_event_kind::responded,
                         .id = id,
                         .status = 503});
}

void fake_backend::dispatch(backend_request const& request) {
    if (session_ == crashed_session_)
        return lost_dispatches_.push_back(request.id);
    if (queue_.now() < shed_until_)
        return reject(request.id);
    auto const payload = read_payload(request.payload);
    auto const number = ++next_run_;
    if (session_ != unresponsive_session_)
        runs_[number] = {payload.id, request.id, session_};
    log_.push_back({.at = queue_.now(),
        .what = observation_kind::run_started,
        .id = payload.id,
        .service = options_.service,
        .backend = options_.id,
        .domain = options_.domain});
    if (occupied() > capacity())
        log_.push_back({.at = queue_.now(),
            .what = observation_kind::over_capacity,
            .backend = options_.id,
            .value = occupied()});
    queue_.after(
        run_duration(), [this, number, body = make_answer(payload)]() mutable {
            end_run(number, std::move(body));
        });
}

void fake_backend::end_run(std::uint64_t number, std::vector<std::byte> body) {
    auto const it = runs_.find(number);
    if (it == runs_.end())
        return;
    auto const ended = it->second;
    runs_.erase(it);
    ++finished_since_cold_;
    log_.push_back({.at = queue_.now(),
        .what = observation_kind::run_ended,
        .id = ended.id,
        .backend = options_.id});
    report(ended.session,
        {.kind = backend_event_kind::responded,
            .id = ended.dispatch,
            .status = 200},
        std::move(body));
}

void fake_backend::cancel(dispatch_id id) {
    std::erase_if(runs_, [&](auto const& it) {
        return it.second.dispatch == id && it.second.session == session_;
    });
}

void fake_backend::crash_until(instant end) {
    crashed_until_ = end;
    for (auto const& [number, it] : runs_)
        if (it.session == session_)
            lost_dispatches_.push_back(it.dispatch);
    runs_.clear();
    set_cold();
    crashed_session_ = session_;
    // Until the agent is notified, it still dispatches requests over the broken
    // connection; these are lost too.
    queue_.after(link_delay, [this, session = session_] {
        auto const lost = std::move(lost_dispatches_);
        lost_dispatches_.clear();
        if (session != session_ || !handler_)
            return;
        for (auto const id : lost)
            handler_({.kind = backend_event_kind::lost,
                         .connection = connection_,
                         .id = id},
                {});
        handler_(
            {.kind = backend_event_kind::closed, .connection = connection_},
            {});
    });
}

} // namespace radishspread::fakes
