#ifndef RADISHSPREAD_TESTS_STANDINS_RS_CONFIGURATION_SERVICE_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_CONFIGURATION_SERVICE_HPP

#include <radishspread/core/rs_endpoint.hpp>

#include <standins/rs_loop.hpp>
#include <standins/rs_section_store.hpp>

#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>

namespace radishspread::standins {

/// One replica of the configuration service, an HTTP/1.1 server. Sections are
/// read with plain requests, and changes are watched with long polling. All
/// requests are counted as calls; a watch counts as one.
class configuration_service {
public:
    /// Starts listening; throws std::runtime_error on failure.
    configuration_service(section_store& store, endpoint address);
    configuration_service(configuration_service const&) = delete;
    configuration_service& operator=(configuration_service const&) = delete;
    ~configuration_service();

    /// While down, the replica refuses connections and responds with status 503
    /// to requests on open ones. Going down also ends pending watches with 503.
    void set_down(bool down);
    /// Hides all edits after `limit`, as a stale replica does. A limit below
    /// the previous one simulates a replica that reverts to an older revision.
    void set_visible_limit(revision limit);
    [[nodiscard]] std::size_t calls() const { return calls_; }

private:
    /// A long poll that waits for changes after the revision `after`.
    struct watcher {
        SoupServerMessage* message = nullptr;
        revision after = 0;
        source_handle timeout;
    };

    void listen();
    void stop();
    void serve(
        SoupServerMessage* message, std::string const& path, GHashTable* query);
    void serve_section(SoupServerMessage* message, std::string const& name);
    void serve_watch(SoupServerMessage* message, GHashTable* query);
    /// Holds the response back until there are changes or `wait` has passed.
    void suspend_watch(
        SoupServerMessage* message, revision after, duration wait);
    void respond_to_watch(SoupServerMessage* message, revision after);
    void wake_watchers();
    /// Removes the watch. Resumes its message if a response was set.
    void end_watch(std::list<watcher>::iterator it, bool is_answered);
    void on_disconnected(SoupServerMessage* message);

    section_store& store_;
    endpoint address_;
    SoupServer* server_ = nullptr;
    bool is_down_ = false;
    revision visible_limit_ = section_store::newest;
    std::size_t calls_ = 0;
    std::list<watcher> watchers_;
};

} // namespace radishspread::standins

#endif
