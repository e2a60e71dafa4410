#ifndef RADISHSPREAD_RUNTIME_RS_HTTP_SERVER_HPP
#define RADISHSPREAD_RUNTIME_RS_HTTP_SERVER_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_time.hpp>
#include <radishspread/runtime/rs_http_limits.hpp>
#include <radishspread/runtime/rs_http_refusal.hpp>

#include <libsoup/soup.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace radishspread::runtime {

class http_connection;

/// Response of a handler.
struct http_response {
    unsigned status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

/// Serves `GET` on fixed paths over HTTP/1.1, on any number of addresses. Each
/// connection serves one request.
/// Bounds what clients can make it hold: requests with a body are refused
/// unread, and connections, their time and unread responses have limits.
class http_server {
public:
    using handler = std::function<http_response()>;

    explicit http_server(http_limits limits = {});
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    void add(std::string const& path, handler on_get);

    /// Returns the error message, empty on success.
    [[nodiscard]] std::string listen(endpoint at);

    /// Closes connections that are past their deadline; called by a timer.
    void tick(instant now);

    [[nodiscard]] std::size_t connections() const {
        return connections_.size();
    }
    [[nodiscard]] std::uint64_t refusals(http_refusal reason) const {
        return refusals_[static_cast<std::size_t>(reason)];
    }

private:
    using connection_list = std::list<std::unique_ptr<http_connection>>;

    /// Handler of one path.
    struct route {
        http_server& server;
        handler on_get;
    };
    /// Listening socket and the event source that accepts from it.
    struct listener {
        GSocket* socket;
        GSource* source; ///< Null while paused.
    };

    static gboolean handle_connection(
        GSocket* socket, GIOCondition, gpointer self);
    static void handle_started(
        SoupServer*, SoupServerMessage* message, gpointer self);
    static void handle_headers(SoupServerMessage* message, gpointer self);
    static void handle_request(SoupServer*, SoupServerMessage* message,
        char const*, GHashTable*, gpointer data);

    void watch(listener& at);
    /// Accepts nothing from `socket` until the next tick.
    void pause(GSocket* socket);
    void accept(GSocket* socket);
    [[nodiscard]] bool make_room();
    void respond(SoupServerMessage* message, handler const& on_get);
    void refuse(http_refusal reason);
    [[nodiscard]] std::size_t pending_bytes() const;

    http_limits limits_;
    SoupServer* server_;
    std::vector<listener> listeners_;
    std::vector<std::unique_ptr<route>> routes_;
    connection_list connections_; ///< In order of their start.
    std::array<std::uint64_t, http_refusal_count> refusals_{};
    guint timer_;
};

} // namespace radishspread::runtime

#endif
