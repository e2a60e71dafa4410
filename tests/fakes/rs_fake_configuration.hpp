#ifndef RADISHSPREAD_TESTS_FAKES_RS_FAKE_CONFIGURATION_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_FAKE_CONFIGURATION_HPP

#include <fakes/rs_event_queue.hpp>
#include <radishspread/core/rs_peer_digest.hpp>
#include <radishspread/core/rs_section.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace radishspread::fakes {

/// Simulated configuration service. It holds all revisions of each section,
/// answers one watch per reader, and can fail in several ways.
class fake_configuration {
public:
    /// `down`: calls fail. `stale`: changes made in this state are not shown.
    /// `lagging_replica`: every second call gets the previous revision.
    enum class state : std::uint8_t { healthy, down, stale, lagging_replica };

    /// Result of a watch: whether it succeeded, the new index, and the sections
    /// that changed after the index given.
    using watch_handler =
        std::function<void(bool, std::uint64_t, std::vector<digest_entry>)>;
    using read_handler = std::function<void(section_ptr)>;

    explicit fake_configuration(event_queue& queue) : queue_(queue) {}

    /// Publishes a new revision of a section; returns the revision.
    revision publish(std::string name, decltype(section::content) content);

    /// `handler` receives null if the read fails.
    void read(std::string_view name, read_handler handler);

    /// Reports changes after index `after`, each later by `delay`.
    void watch(std::uint64_t after, duration delay, watch_handler handler);

    void set_state(state value);
    [[nodiscard]] state current() const { return state_; }
    [[nodiscard]] section_ptr latest(std::string_view name) const;
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    struct pending_watch {
        std::uint64_t after = 0;
        duration delay{0};
        watch_handler handler;
        std::uint64_t number = 0;
    };

    using table = std::map<std::string, std::vector<section_ptr>, std::less<>>;

    void answer_watches();
    void expire_watch(std::uint64_t number);
    [[nodiscard]] section_ptr visible(std::string_view name);

    event_queue& queue_;
    table sections_;
    std::vector<pending_watch> watches_;
    std::uint64_t index_ = 0;
    std::uint64_t frozen_index_ = 0;
    std::uint64_t next_watch_ = 0;
    std::uint64_t calls_ = 0;
    state state_ = state::healthy;
};

} // namespace radishspread::fakes

#endif
