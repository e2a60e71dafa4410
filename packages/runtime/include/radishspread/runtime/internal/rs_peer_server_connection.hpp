#ifndef RADISHSPREAD_RUNTIME_INTERNAL_RS_PEER_SERVER_CONNECTION_HPP
#define RADISHSPREAD_RUNTIME_INTERNAL_RS_PEER_SERVER_CONNECTION_HPP

#include <radishspread/runtime/rs_http2_transport.hpp>
#include <radishspread/runtime/rs_peer_server.hpp>

#include <string>
#include <unordered_map>

namespace radishspread::runtime {

/// A connection accepted from a peer.
class peer_server_connection {
public:
    peer_server_connection(unique_fd fd, endpoint peer,
        peer_server_options const& options, peer_server_source const& source,
        instant now);

    /// Closes the connection if its peer is unresponsive or slow or if it is
    /// idle. Returns the reason for the log. The reason is empty if the
    /// connection stays open or becomes idle after it has served a request,
    /// which is its usual end.
    [[nodiscard]] std::string_view check(instant now);
    void flush();

    [[nodiscard]] bool is_closed() const { return is_closed_; }
    [[nodiscard]] endpoint peer() const { return peer_; }

private:
    struct stream {
        std::string method;
        std::string path;
        std::size_t header_size = 0;
        section_ptr served_section; ///< Keeps the text in `body` valid.
        std::string generated_body; ///< Body of an index.
        std::string_view body;
        std::size_t position = 0; ///< Of the next byte of `body` to send.
    };
    struct response {
        std::string_view status = "404";
        revision held = 0;
        std::string tag;
    };
    friend struct peer_server_callbacks;

    [[nodiscard]] http2_session_ptr make_session();
    void respond(std::int32_t stream_id);
    [[nodiscard]] response make_response(stream& it) const;
    void fill_section(stream& it, std::string const& name, response& out) const;
    void fill_index(stream& it, response& out) const;

    endpoint peer_;
    peer_server_options const& options_;
    peer_server_source const& source_;
    connection_watchdog watchdog_;
    std::unordered_map<std::int32_t, stream> streams_;
    std::unique_ptr<http2_transport> transport_;
    bool is_closed_ = false;
    bool has_served_ = false;
};

} // namespace radishspread::runtime

#endif
