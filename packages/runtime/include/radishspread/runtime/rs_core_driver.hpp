#ifndef RADISHSPREAD_RUNTIME_RS_CORE_DRIVER_HPP
#define RADISHSPREAD_RUNTIME_RS_CORE_DRIVER_HPP

#include <radishspread/core/rs_stop_event.hpp>
#include <radishspread/runtime/rs_clock.hpp>
#include <radishspread/runtime/rs_datagram_events.hpp>
#include <radishspread/runtime/rs_process.hpp>
#include <radishspread/runtime/rs_trace_text.hpp>

#include <utility>

namespace radishspread::runtime {

/// Base of the drivers of both cores. `Core` is the balancer or the agent;
/// `Actions` is the sink through which it sends, reads and logs.
template <class Core, class Actions> class core_driver : public driver {
public:
    void start() override { core_.start(process_.now(), actions_); }
    void stop(duration deadline) override {
        core_.handle(
            process_.now(), stop_event{.deadline = deadline}, actions_);
    }
    [[nodiscard]] bool is_finished() const override {
        return core_.is_finished(process_.now());
    }

    void handle(section_event const& event) override { dispatch_event(event); }
    void handle(section_refused_event const& event) override {
        dispatch_event(event);
    }
    void handle(read_failed_event const& event) override {
        dispatch_event(event);
    }
    void handle(watch_event const& event) override { dispatch_event(event); }
    void handle(watch_failed_event const& event) override {
        dispatch_event(event);
    }

    [[nodiscard]] domains_section const* domains() const override {
        auto const it = core_.view().find("domains");
        return it != nullptr ? std::get_if<domains_section>(&it->content)
                             : nullptr;
    }
    [[nodiscard]] section_ptr find(std::string_view name) const override {
        return core_.view().find(name);
    }
    [[nodiscard]] std::vector<digest_entry> index() const override {
        return core_.view().index();
    }

protected:
    template <class Options, class... Arguments>
    core_driver(process& owner, Options options, Arguments&&... arguments)
        : process_(owner), core_(std::move(options)),
          actions_(owner, std::forward<Arguments>(arguments)...) {}

    /// Passes an event to the core, unless it was received before a pause.
    template <class Event> void dispatch_event(Event const& event) {
        if (process_.begin_wakeup())
            core_.handle(process_.now(), event, actions_);
    }

    /// Calls `handle`, which processes the packet that carries `context`. If
    /// the packet is sampled, writes a span for this hop, which becomes the
    /// parent of the spans of later hops.
    template <class Handle>
    void run_traced(trace_context& context, trace_span span, Handle handle) {
        auto& traces = process_.traces();
        if (!traces.is_on() || !is_sampled(context))
            return handle();
        span.context = context;
        span.id = traces.next_id();
        span.begin = wall_nanoseconds();
        context.parent = span.id;
        handle();
        span.end = wall_nanoseconds();
        traces.write(span);
    }

    void report_malformed(std::error_code ec, endpoint from) {
        process_.counters().datagrams_malformed.add();
        auto const text = ec.message();
        process_.log(
            make_event(datagram_malformed, step::receive, from, 0, text));
    }

    void report_unexpected(endpoint from) {
        process_.counters().datagrams_unexpected.add();
        process_.log(make_event(datagram_unexpected, step::receive, from));
    }

    process& process_;
    Core core_;
    Actions actions_;
};

} // namespace radishspread::runtime

#endif
