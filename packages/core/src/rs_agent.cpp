#include <radishspread/core/rs_agent.hpp>

#include <utility>

namespace radishspread {

agent::agent(agent_options options) : state_(std::move(options)) {}

bool agent::is_finished(instant now) const {
    if (!state_.is_stopping)
        return false;
    if (now >= state_.stop_deadline)
        return true;
    // In a failure domain that is out, flows are not handed over but abandoned.
    bool const has_flows = state_.flows.owned() != 0 && !state_.is_out();
    bool const has_requests =
        state_.dispatches.size() != 0 || !state_.queue.empty();
    return !has_flows && !has_requests && state_.transfers.empty() &&
           now >= state_.linger_until;
}

std::size_t agent::outstanding() const {
    return state_.dispatches.size();
}

agent_load agent::load() const {
    return {.slots = state_.limiter.slots(),
        .bound = state_.limiter.bound(),
        .occupied = state_.dispatches.size(),
        .reserved = state_.flows.pending(),
        .queued = state_.queue.size(),
        .flows = state_.flows.owned(),
        .moved = state_.flows.moved(),
        .stored_answer_bytes = state_.answers.size()};
}

document const& agent::view() const {
    return state_.view;
}

} // namespace radishspread
