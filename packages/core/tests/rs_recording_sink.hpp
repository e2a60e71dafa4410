#ifndef RADISHSPREAD_TESTS_RS_RECORDING_SINK_HPP
#define RADISHSPREAD_TESTS_RS_RECORDING_SINK_HPP

#include <radishspread/core/rs_sinks.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace radishspread::test {

/// Records the actions of a core, in order, for tests to check.
struct recording_sink {
    struct read {
        std::string name;
        endpoint peer; ///< Unset for the configuration service.
    };
    struct digest {
        endpoint to;
        peer_digest value; ///< Without entries; see `entries`.
        std::vector<std::pair<std::string, revision>> entries;
    };
    struct reply {
        service_id service;
        endpoint to;
        caller_reply value;
    };
    struct forwarded {
        endpoint to;
        forward value;
    };

    std::vector<read> reads;
    std::vector<std::uint64_t> watches;
    std::vector<endpoint> indexes;
    std::vector<digest> digests;
    std::vector<section_ptr> in_effect;
    std::vector<std::uint16_t> logs;
    std::vector<forwarded> forwards;
    std::vector<reply> replies;
    int discards = 0;

    void read_section(std::string_view name) {
        reads.push_back({std::string(name), {}});
    }
    void watch(std::uint64_t after) { watches.push_back(after); }
    void pull_section(endpoint peer, std::string_view name) {
        reads.push_back({std::string(name), peer});
    }
    void pull_index(endpoint peer) { indexes.push_back(peer); }
    void send_digest(endpoint to, peer_digest const& sent) {
        digests.push_back({to, sent, {}});
        digests.back().value.entries.clear();
        for (auto const& entry : sent.entries)
            digests.back().entries.emplace_back(entry.name, entry.held);
    }
    void section_in_effect(section_ptr const& value) {
        in_effect.push_back(value);
    }
    void discard_queued() { ++discards; }
    void log(log_event const& event) { logs.push_back(event.number); }
    void send_forward(endpoint to, forward const& packet) {
        forwards.push_back({to, packet});
    }
    void send_reply(
        service_id service, endpoint to, caller_reply const& value) {
        replies.push_back({service, to, value});
    }

    [[nodiscard]] bool has_read(std::string_view name, endpoint peer) const {
        return std::any_of(reads.begin(), reads.end(),
            [&](read const& it) { return it.name == name && it.peer == peer; });
    }
    [[nodiscard]] bool has_log(std::uint16_t number) const {
        return std::find(logs.begin(), logs.end(), number) != logs.end();
    }
    void clear() { *this = {}; }
};

/// Section `domains` with failure domains 1 to 3, of which `out` are out.
inline section_ptr make_domains(
    revision held, std::vector<domain_id> const& out = {}) {
    domains_section content;
    for (domain_id id = 1; id <= 3; ++id)
        content.failure_domains.push_back({.name = "d" + std::to_string(id),
            .id = id,
            .region = "r",
            .is_out = std::find(out.begin(), out.end(), id) != out.end()});
    return std::make_shared<section const>(
        section{.name = "domains", .held = held, .content = content});
}

/// Backend server `id` in failure domain 1 + (id - 1) % 3, with agent port
/// 9000 + id.
inline backend_entry make_backend(backend_id id) {
    return {.name = "b" + std::to_string(id),
        .id = id,
        .domain = static_cast<domain_id>(1 + (id - 1) % 3),
        .agent = {0x7f000001, static_cast<std::uint16_t>(9000 + id)},
        .slots = 7,
        .connections = 2000};
}

/// Section "service/sID" with `n` backend servers numbered from 1.
inline section_ptr make_service(revision held, service_id id, unsigned n) {
    service_section content{.name = "s" + std::to_string(id),
        .id = id,
        .port = static_cast<std::uint16_t>(8000 + id)};
    for (backend_id i = 1; i <= n; ++i)
        content.backend_servers.push_back(make_backend(i));
    return std::make_shared<section const>(section{
        .name = "service/" + content.name, .held = held, .content = content});
}

} // namespace radishspread::test

#endif
