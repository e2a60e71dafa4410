#include <radishspread/runtime/rs_agent_actions.hpp>
#include <radishspread/runtime/rs_clock.hpp>
#include <radishspread/runtime/rs_runtime_events.hpp>
#include <radishspread/runtime/rs_trace_text.hpp>

namespace radishspread::runtime {

namespace {

std::string_view result_text(backend_event_kind kind) {
    if (kind == backend_event_kind::responded)
        return "answered";
    return kind == backend_event_kind::refused ? "refused" : "lost";
}

bool ends_request(backend_event_kind kind) {
    return kind == backend_event_kind::responded ||
           kind == backend_event_kind::refused ||
           kind == backend_event_kind::lost;
}

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

void agent_actions::connect(std::uint64_t connection) {
    auto const& settings = process_.settings();
    backend_session_options const options{.target = settings.backend_address,
        .connection = connection,
        .max_response = settings.agent.max_answer};
    sessions_[connection] = std::make_unique<backend_session>(
        options, [this](backend_event const& event) { handle(event); });
}

void agent_actions::ping(std::uint64_t connection) {
    auto const it = sessions_.find(connection);
    if (it != sessions_.end())
        it->second->ping();
}

void agent_actions::disconnect(std::uint64_t connection) {
    auto const it = sessions_.find(connection);
    if (it == sessions_.end())
        return;
    it->second->close();
    retired_.push_back(std::move(it->second));
    sessions_.erase(it);
    std::vector<dispatch_id> ended;
    for (auto const& [id, request] : dispatched_requests_)
        if (request.connection == connection)
            ended.push_back(id);
    for (auto const id : ended)
        finish(id, "disconnected");
}

void agent_actions::dispatch(
    std::uint64_t connection, backend_request const& request) {
    auto const it = sessions_.find(connection);
    auto copy = request;
    dispatched_request record{
        .connection = connection, .sent_at = process_.now(), .span = {}};
    auto& traces = process_.traces();
    if (traces.is_on() && is_sampled(request.trace)) {
        record.span = {.context = request.trace,
            .id = traces.next_id(),
            .name = "backend.request",
            .begin = wall_nanoseconds(),
            .peer = process_.settings().backend_address,
            .request = request.request};
        copy.trace.parent = record.span.id;
    }
    if (it == sessions_.end())
        return;
    dispatched_requests_[request.id] = record;
    it->second->dispatch(copy);
}

void agent_actions::cancel(std::uint64_t connection, dispatch_id id) {
    auto const it = sessions_.find(connection);
    if (it != sessions_.end())
        it->second->cancel(id);
}

void agent_actions::flush() {
    retired_.clear();
    std::vector<backend_session*> open;
    for (auto const& [connection, it] : sessions_)
        open.push_back(it.get());
    // The core may disconnect sessions during the loop; `retired_` then keeps
    // them valid.
    for (auto* it : open)
        it->flush();
}

void agent_actions::handle(backend_event const& event) {
    // The result is ignored: after a pause of the process, datagrams received
    // before it are discarded, but a response still belongs to its request.
    static_cast<void>(process_.begin_wakeup());
    if (!sessions_.contains(event.connection))
        return;
    if (ends_request(event.kind))
        finish(event.id, result_text(event.kind));
    callback_(event);
    if (event.kind == backend_event_kind::closed) {
        log_closed(event.connection);
        disconnect(event.connection);
    }
}

void agent_actions::finish(dispatch_id id, std::string_view result) {
    auto const it = dispatched_requests_.find(id);
    if (it == dispatched_requests_.end())
        return;
    auto record = it->second;
    dispatched_requests_.erase(it);
    if (result == "answered")
        process_.counters().response_seconds.add(
            to_seconds(process_.now() - record.sent_at));
    if (record.span.id == 0)
        return;
    record.span.end = wall_nanoseconds();
    record.span.result = result;
    process_.traces().write(record.span);
}

void agent_actions::log_closed(std::uint64_t connection) {
    process_.log(make_event(backend_connection_closed, step::dispatch,
        process_.settings().backend_address,
        static_cast<std::int64_t>(connection)));
}

} // namespace radishspread::runtime
