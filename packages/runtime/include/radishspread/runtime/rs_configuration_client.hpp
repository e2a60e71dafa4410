#ifndef RADISHSPREAD_RUNTIME_RS_CONFIGURATION_CLIENT_HPP
#define RADISHSPREAD_RUNTIME_RS_CONFIGURATION_CLIENT_HPP

#include <radishspread/core/rs_call_budget.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>
#include <radishspread/runtime/rs_section_response.hpp>
#include <radishspread/runtime/rs_section_tag.hpp>

#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace radishspread::runtime {

class configuration_call;

/// Settings of a `configuration_client`.
struct configuration_client_options {
    endpoint service;
    duration read_timeout = std::chrono::seconds(5);
    /// Maximum time that the service holds a watch open (`wait_ms`).
    duration watch_wait = std::chrono::seconds(25);
    /// A watch without a response times out this long after `watch_wait`.
    duration watch_grace = std::chrono::seconds(2);
    /// A longer reply ends with the error `message_size`; in bytes.
    std::size_t max_reply_size = max_section_size;
    /// Header with the era of the service, see `item_version`; null: none.
    char const* era_header = nullptr;
    /// Limit of the calls that ask `budget` before they start.
    double calls_per_second = 40;
};

/// Reads and watches the configuration service over HTTP/1.1. Callbacks are
/// called from the main loop, never from within `read`, `get` or `watch`.
class configuration_client {
public:
    explicit configuration_client(configuration_client_options options);
    ~configuration_client();
    configuration_client(configuration_client const&) = delete;
    configuration_client& operator=(configuration_client const&) = delete;

    void read(instant now, std::string_view name, response_callback callback);

    /// Limits the calls of all users of this client together; each asks it
    /// before a call and counts the call.
    [[nodiscard]] call_budget& budget() { return budget_; }
    [[nodiscard]] call_budget const& budget() const { return budget_; }

    /// Requests `path` from the service or a peer; times out at `deadline`.
    /// Returns the call for `cancel`.
    std::weak_ptr<configuration_call> get(endpoint from,
        std::string const& path, instant deadline, response_callback callback);

    /// Cancels a call of `get`, which frees its connection; the callback is not
    /// called. Does nothing if the call has ended.
    void cancel(std::weak_ptr<configuration_call> const& call);

    /// Starts a watch. An outstanding watch is cancelled and its callback is
    /// not called.
    void watch(instant now, std::uint64_t after, response_callback callback);

    /// Cancels calls past their deadline; their callbacks receive a timeout.
    void tick(instant now);

    /// Cancels all calls; none of their callbacks is called.
    void reset();

private:
    std::shared_ptr<configuration_call> start(endpoint from,
        std::string const& path, instant deadline, response_callback callback);

    configuration_client_options options_;
    call_budget budget_;
    SoupSession* session_ = nullptr;
    std::vector<std::shared_ptr<configuration_call>> calls_;
    std::shared_ptr<configuration_call> watch_;
};

} // namespace radishspread::runtime

#endif
