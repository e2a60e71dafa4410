#ifndef RADISHSPREAD_TESTS_FAKES_RS_PROCESS_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_PROCESS_HPP

#include <radishspread/core/rs_document.hpp>
#include <radishspread/core/rs_fleet_key.hpp>
#include <radishspread/wire/rs_codec.hpp>

#include <functional>
#include <span>
#include <string_view>
#include <vector>

namespace radishspread::fakes {

class simulation;

/// Key of all simulated fleets.
inline constexpr fleet_key shared_key{{7, 7, 7}};

/// Endpoint, failure domain and incarnation of a process.
struct process_info {
    endpoint self;
    domain_id domain = 0;
    incarnation_id incarnation = 0;
    std::uint64_t generation = 0; ///< Distinguishes restarts at one endpoint.
    duration watch_delay{0}; ///< Extra delay of its watch of the configuration.
};

/// Simulated process, balancer or agent, that runs a core. Implements the
/// actions of the document, which both kinds of core use.
class process {
public:
    process(simulation& owner, process_info info);
    virtual ~process() = default;
    process(process const&) = delete;
    process& operator=(process const&) = delete;

    virtual void start() = 0;
    virtual void tick() = 0;
    virtual void receive(std::span<std::byte const> datagram) = 0;
    /// Handles a packet from a caller; agents ignore it.
    virtual void receive_from_caller(service_id /*port*/, endpoint /*caller*/,
        std::span<std::byte const> /*datagram*/) {}
    virtual void stop(duration deadline) = 0;
    [[nodiscard]] virtual bool is_finished() const = 0;
    [[nodiscard]] virtual document const& view() const = 0;
    [[nodiscard]] virtual bool is_balancer() const = 0;

    /// Runs `action` now, or when the process resumes if it is paused.
    void post(std::function<void()> action);
    /// The same for a datagram, except that the core may discard it on
    /// resuming.
    void post_datagram(std::function<void()> action);
    void pause() { is_paused_ = true; }
    void resume();

    [[nodiscard]] process_info const& info() const { return info_; }
    [[nodiscard]] bool is_paused() const { return is_paused_; }
    void set_watch_delay(duration delay) { info_.watch_delay = delay; }
    bool is_stopping = false;
    int group = 0; ///< Side of a network partition; 0 reaches the
                   ///< configuration service.

    // Actions of `document_sink`, called by the core.
    void read_section(std::string_view name);
    void watch(std::uint64_t after);
    void pull_section(endpoint peer, std::string_view name);
    void pull_index(endpoint peer);
    void send_digest(endpoint peer, peer_digest const& digest);
    void section_in_effect(section_ptr const& /*value*/) {}
    void discard_queued() { datagrams_.clear(); }
    void log(log_event const& event);

protected:
    virtual void on(section_event const& event) = 0;
    virtual void on(read_failed_event const& event) = 0;
    virtual void on(watch_event const& event) = 0;
    virtual void on(watch_failed_event const& event) = 0;

    simulation& simulation_;
    wire::encoder encoder_{shared_key};

private:
    /// Passes the result of a read to the core; null if the read failed.
    void handle_read(section_ptr value, std::string const& name, endpoint peer);
    /// Wraps `action` so that it runs only if this process still exists.
    [[nodiscard]] std::function<void()> guarded(
        std::function<void(process&)> action);

    process_info info_;
    bool is_paused_ = false;
    std::vector<std::function<void()>> actions_;
    std::vector<std::function<void()>> datagrams_;
};

} // namespace radishspread::fakes

#endif
