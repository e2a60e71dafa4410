#ifndef RADISHSPREAD_RUNTIME_RS_CONFIGURATION_CLIENT_HPP
#define RADISHSPREAD_RUNTIME_RS_CONFIGURATION_CLIENT_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>
#include <radishspread/runtime/rs_section_response.hpp>

#include <libsoup/soup.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace radishspread::runtime {

class configuration_call;

/// Settings of the client of the configuration service.
struct configuration_client_options {
    endpoint service;
    duration read_limit = std::chrono::seconds(5);
    duration watch_wait = std::chrono::seconds(25); ///< Asked of the service.
    /// Beyond `watch_wait`, after which a silent watch is given up.
    duration watch_grace = std::chrono::seconds(2);
};

/// Reads and watches the configuration service over HTTP/1.1. Calls are made
/// from the main loop, never from `read` and `watch`.
class configuration_client {
public:
    explicit configuration_client(configuration_client_options options);
    ~configuration_client();
    configuration_client(configuration_client const&) = delete;
    configuration_client& operator=(configuration_client const&) = delete;

    void read(instant now, std::string_view name, response_callback call);

    /// Gets `path` at `from`, the service or a peer; fails at `limit`.
    void get(endpoint from, std::string const& path, instant limit,
        response_callback call);

    /// Starts a watch, which replaces an outstanding one; the call of the
    /// latter is not made.
    void watch(instant now, std::uint64_t after, response_callback call);

    /// Gives up calls past their limit; they fail.
    void tick(instant now);

    /// Gives up all calls; none of them is made.
    void reset();

private:
    std::shared_ptr<configuration_call> start(endpoint from,
        std::string const& path, instant limit, response_callback call);

    configuration_client_options options_;
    SoupSession* session_ = nullptr;
    std::vector<std::shared_ptr<configuration_call>> calls_;
    std::shared_ptr<configuration_call> watch_;
};

} // namespace radishspread::runtime

#endif
