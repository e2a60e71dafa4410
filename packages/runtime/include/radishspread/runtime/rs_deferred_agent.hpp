#ifndef RADISHSPREAD_RUNTIME_RS_DEFERRED_AGENT_HPP
#define RADISHSPREAD_RUNTIME_RS_DEFERRED_AGENT_HPP

#include <radishspread/core/rs_agent.hpp>
#include <radishspread/core/rs_document.hpp>

#include <optional>

namespace radishspread::runtime {

/// Ids of an agent's service and failure domain.
struct agent_ids {
    service_id service = 0;
    domain_id domain = 0;
};

/// Looks up the ids by name in the sections in effect; empty if one is missing.
[[nodiscard]] std::optional<agent_ids> find_agent_ids(
    document const& view, document_options const& options);

/// Agent core that is started once the document has the ids of its service and
/// failure domain, because the settings contain only their names. Until then
/// only the document runs; all other messages are dropped, as their senders
/// retransmit them.
class deferred_agent {
public:
    explicit deferred_agent(agent_options options)
        : options_(std::move(options)), document_(options_.document) {}

    template <agent_sink Sink> void start(instant now, Sink& sink) {
        document_.start(now, sink);
    }

    /// Handles any event that `agent::handle` accepts.
    template <class Event, agent_sink Sink>
    void handle(instant now, Event const& event, Sink& sink) {
        if (core_)
            return core_->handle(now, event, sink);
        if constexpr (requires { document_.handle(now, event, sink); }) {
            document_.handle(now, event, sink);
            start_if_configured(now, sink);
        }
        if constexpr (std::is_same_v<Event, stop_event>)
            is_stopped_ = true;
    }

    template <agent_sink Sink> void tick(instant now, Sink& sink) {
        if (core_)
            core_->tick(now, sink);
        else
            document_.tick(now, sink);
    }

    [[nodiscard]] bool is_finished(instant now) const {
        return core_ ? core_->is_finished(now) : is_stopped_;
    }
    [[nodiscard]] std::size_t outstanding() const {
        return core_ ? core_->outstanding() : 0;
    }
    [[nodiscard]] document const& view() const {
        return core_ ? core_->view() : document_;
    }

private:
    template <agent_sink Sink>
    void start_if_configured(instant now, Sink& sink) {
        auto const ids = find_agent_ids(document_, options_.document);
        if (!ids || is_stopped_)
            return;
        options_.service = ids->service;
        options_.domain = ids->domain;
        core_.emplace(options_);
        core_->start(now, sink);
        // Passes on the sections, so that the agent does not read them again.
        for (auto const& entry : document_.index())
            core_->handle(now,
                section_event{.value = document_.find(entry.name), .peer = {}},
                sink);
    }

    agent_options options_;
    document document_;
    std::optional<agent> core_;
    bool is_stopped_ = false;
};

} // namespace radishspread::runtime

#endif
