#ifndef RADISHSPREAD_RUNTIME_RS_SECTION_READER_HPP
#define RADISHSPREAD_RUNTIME_RS_SECTION_READER_HPP

#include <radishspread/core/rs_fleet_key.hpp>
#include <radishspread/core/rs_log_event.hpp>
#include <radishspread/runtime/rs_configuration_client.hpp>
#include <radishspread/runtime/rs_document_listener.hpp>
#include <radishspread/runtime/rs_peer_client.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace radishspread::runtime {

/// Settings of the section reader.
struct section_reader_options {
    fleet_key key;
    configuration_client_options configuration;
    peer_client_options peers;
};

/// Reads sections from the configuration service and from peers, watches for
/// changes, and reports the parsed results to the document.
class section_reader {
public:
    using log_callback = std::function<void(log_event const&)>;

    section_reader(section_reader_options options, document_listener& listener,
        log_callback log);

    /// Reads a section from the configuration service.
    void read(instant now, std::string_view name);
    /// Waits for changes that follow index `after` at the configuration
    /// service.
    void watch(instant now, std::uint64_t after);
    /// Reads a section from a peer.
    void pull_section(instant now, endpoint peer, std::string_view name);
    /// Reads the names and revisions of a peer's sections.
    void pull_index(instant now, endpoint peer);

    void tick(instant now);
    void flush();

    /// Cancels all outstanding reads and watches without reporting events.
    void reset();

private:
    void finish_read(std::string const& name, endpoint peer,
        section_response const& response);
    void finish_watch(section_response const& response);
    void finish_index(endpoint peer, section_response const& response);
    void parse(std::string const& name, endpoint peer,
        section_response const& response);
    /// Reports the JSON list under `list_key` as changes, or the response as
    /// failed if it is malformed. Only the configuration service, whose `peer`
    /// is unset, sends an index with the list.
    void emit_watch_event(
        endpoint peer, std::string_view body, char const* list_key);
    void report(std::uint16_t number, endpoint peer, std::string_view name,
        section_response const& response);
    [[nodiscard]] bool has_valid_tag(
        std::string_view name, endpoint peer, section_response const& response);

    section_reader_options options_;
    document_listener& listener_;
    log_callback log_;
    configuration_client configuration_;
    peer_client peers_;
};

} // namespace radishspread::runtime

#endif
