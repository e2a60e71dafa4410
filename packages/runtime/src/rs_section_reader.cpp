#include <radishspread/config/rs_parse_section.hpp>
#include <radishspread/runtime/rs_make_event.hpp>
#include <radishspread/runtime/rs_runtime_events.hpp>
#include <radishspread/runtime/rs_section_reader.hpp>
#include <radishspread/runtime/rs_section_tag.hpp>

#include <nlohmann/json.hpp>

namespace radishspread::runtime {

namespace {

// A section with many faults would otherwise fill the log.
constexpr std::size_t max_reported_faults = 5;

std::string join_faults(std::vector<config::fault> const& faults) {
    std::string out;
    for (std::size_t n = 0; n < faults.size(); ++n) {
        if (n == max_reported_faults)
            return out + "; " + std::to_string(faults.size() - n) + " more";
        if (n > 0)
            out += "; ";
        out += config::to_string(faults[n]);
    }
    return out;
}

std::string failure_text(section_response const& it) {
    return it.code ? it.code.message() : "status " + std::to_string(it.status);
}

/// Names and revisions of a JSON list; empty if it has another form.
std::optional<std::vector<std::pair<std::string, revision>>> read_list(
    nlohmann::json const& list) {
    if (!list.is_array())
        return std::nullopt;
    std::vector<std::pair<std::string, revision>> out;
    for (auto const& it : list) {
        bool const is_valid =
            it.is_object() && it.contains("name") && it["name"].is_string() &&
            it.contains("revision") && it["revision"].is_number_unsigned();
        if (!is_valid)
            return std::nullopt;
        out.emplace_back(it["name"], it["revision"]);
    }
    return out;
}

} // namespace

section_reader::section_reader(
    section_reader_options options, document_listener& listener, log_call log)
    : options_(options), listener_(listener), log_(std::move(log)),
      configuration_(options.configuration), peers_(options.peers) {}

void section_reader::read(instant now, std::string_view name) {
    configuration_.read(now, name,
        [this, copy = std::string(name)](
            section_response const& it) { finish_read(copy, {}, it); });
}

void section_reader::watch(instant now, std::uint64_t after) {
    configuration_.watch(
        now, after, [this](section_response const& it) { finish_watch(it); });
}

void section_reader::pull_section(
    instant now, endpoint peer, std::string_view name) {
    peers_.get(now, peer, "/v1/sections/" + std::string(name),
        [this, peer, copy = std::string(name)](
            section_response const& it) { finish_read(copy, peer, it); });
}

void section_reader::pull_index(instant now, endpoint peer) {
    peers_.get(now, peer, "/v1/index",
        [this, peer](section_response const& it) { finish_index(peer, it); });
}

void section_reader::tick(instant now) {
    configuration_.tick(now);
    peers_.tick(now);
}

void section_reader::flush() {
    peers_.flush();
}

void section_reader::reset() {
    configuration_.reset();
    peers_.reset();
}

void section_reader::finish_read(
    std::string const& name, endpoint peer, section_response const& it) {
    bool const is_usable = it.is_ok() && it.held != 0 &&
                           (!peer.is_set() || is_tag_right(name, peer, it));
    if (is_usable)
        return parse(name, peer, it);
    report(
        peer.is_set() ? peer_read_failed : section_read_failed, peer, name, it);
    listener_.handle(read_failed_event{.name = name, .peer = peer});
}

void section_reader::parse(
    std::string const& name, endpoint peer, section_response const& it) {
    auto const parsed =
        config::parse_section(name, it.held, it.body, listener_.domains());
    if (parsed.value != nullptr) {
        listener_.handle(section_event{.value = parsed.value, .peer = peer});
        return;
    }
    auto const faults = join_faults(parsed.faults);
    log_(make_event(section_has_faults, step::read_document, peer,
        static_cast<std::int64_t>(it.held), faults));
    listener_.handle(section_refused_event{
        .name = name, .refused = it.held, .faults = faults, .peer = peer});
}

void section_reader::finish_watch(section_response const& it) {
    if (it.is_ok())
        return pass_on_list({}, it.body, "changes");
    report(watch_failed, {}, {}, it);
    listener_.handle(watch_failed_event{});
}

void section_reader::finish_index(endpoint peer, section_response const& it) {
    if (it.is_ok() && is_tag_right({}, peer, it))
        return pass_on_list(peer, it.body, "sections");
    report(peer_read_failed, peer, "index", it);
    listener_.handle(watch_failed_event{.peer = peer});
}

void section_reader::pass_on_list(
    endpoint peer, std::string_view body, char const* list_key) {
    auto const whole = nlohmann::json::parse(body, nullptr, false);
    bool const has_index = whole.is_object() && whole.contains("index") &&
                           whole["index"].is_number_unsigned();
    auto const list = whole.is_object() && whole.contains(list_key)
                          ? read_list(whole[list_key])
                          : std::nullopt;
    if (!list || (!peer.is_set() && !has_index)) {
        section_response failed;
        failed.code = std::make_error_code(std::errc::bad_message);
        report(
            peer.is_set() ? peer_read_failed : watch_failed, peer, {}, failed);
        listener_.handle(watch_failed_event{.peer = peer});
        return;
    }
    std::vector<digest_entry> changes;
    changes.reserve(list->size());
    for (auto const& [name, held] : *list)
        changes.push_back({.name = name, .held = held});
    watch_event event{.index = 0, .changes = changes, .peer = peer};
    if (!peer.is_set())
        event.index = whole["index"];
    listener_.handle(event);
}

bool section_reader::is_tag_right(
    std::string_view name, endpoint peer, section_response const& it) {
    if (it.tag == section_tag(options_.key, name, it.held, it.body))
        return true;
    log_(make_event(peer_tag_invalid, step::read_document, peer, 0, name));
    return false;
}

void section_reader::report(std::uint16_t number, endpoint peer,
    std::string_view name, section_response const& it) {
    std::string text(name);
    if (!text.empty())
        text += ": ";
    text += failure_text(it);
    log_(make_event(number, step::read_document, peer, 0, text));
}

} // namespace radishspread::runtime
