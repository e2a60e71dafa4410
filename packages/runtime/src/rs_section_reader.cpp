#include <radishspread/config/rs_parse_section.hpp>
#include <radishspread/runtime/rs_make_event.hpp>
#include <radishspread/runtime/rs_runtime_events.hpp>
#include <radishspread/runtime/rs_section_reader.hpp>
#include <radishspread/runtime/rs_section_tag.hpp>
#include <radishspread/wire/rs_bounded_json.hpp>

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

std::string failure_text(section_response const& response) {
    return response.code ? response.code.message()
                         : "status " + std::to_string(response.status);
}

/// Member of a JSON object, or null.
rapidjson::Value const* find_member(
    rapidjson::Value const& from, char const* name) {
    if (!from.IsObject())
        return nullptr;
    auto const it = from.FindMember(name);
    return it == from.MemberEnd() ? nullptr : &it->value;
}

/// Names and revisions of a JSON list, or `nullopt` if the list is missing or
/// malformed. The names refer to `list`.
std::optional<std::vector<digest_entry>> parse_list(
    rapidjson::Value const* list) {
    if (list == nullptr || !list->IsArray())
        return std::nullopt;
    std::vector<digest_entry> out;
    out.reserve(list->Size());
    for (auto const& entry : list->GetArray()) {
        auto const* name = find_member(entry, "name");
        auto const* held = find_member(entry, "revision");
        if (name == nullptr || !name->IsString() || held == nullptr ||
            !held->IsUint64())
            return std::nullopt;
        out.push_back({.name = {name->GetString(), name->GetStringLength()},
            .held = held->GetUint64()});
    }
    return out;
}

} // namespace

section_reader::section_reader(section_reader_options options,
    document_listener& listener, log_callback log)
    : options_(options), listener_(listener), log_(std::move(log)),
      configuration_(options.configuration), peers_(options.peers) {}

void section_reader::read(instant now, std::string_view name) {
    configuration_.read(now, name,
        [this, copy = std::string(name)](section_response const& response) {
            finish_read(copy, {}, response);
        });
}

void section_reader::watch(instant now, std::uint64_t after) {
    configuration_.watch(now, after,
        [this](section_response const& response) { finish_watch(response); });
}

void section_reader::pull_section(
    instant now, endpoint peer, std::string_view name) {
    peers_.get(now, peer, "/v1/sections/" + std::string(name),
        [this, peer, copy = std::string(name)](
            section_response const& response) {
            finish_read(copy, peer, response);
        });
}

void section_reader::pull_index(instant now, endpoint peer) {
    peers_.get(
        now, peer, "/v1/index", [this, peer](section_response const& response) {
            finish_index(peer, response);
        });
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
    std::string const& name, endpoint peer, section_response const& response) {
    bool const is_usable =
        response.is_ok() && response.held != 0 &&
        (!peer.is_set() || has_valid_tag(name, peer, response));
    if (is_usable)
        return parse(name, peer, response);
    report(peer.is_set() ? peer_read_failed : section_read_failed, peer, name,
        response);
    listener_.handle(read_failed_event{.name = name, .peer = peer});
}

void section_reader::parse(
    std::string const& name, endpoint peer, section_response const& response) {
    auto const parsed = config::parse_section(
        name, response.held, response.body, listener_.domains());
    if (parsed.value != nullptr) {
        listener_.handle(section_event{.value = parsed.value, .peer = peer});
        return;
    }
    auto const faults = join_faults(parsed.faults);
    log_(make_event(section_has_faults, step::read_document, peer,
        static_cast<std::int64_t>(response.held), faults));
    listener_.handle(section_refused_event{.name = name,
        .refused = response.held,
        .faults = faults,
        .peer = peer});
}

void section_reader::finish_watch(section_response const& response) {
    if (response.is_ok())
        return emit_watch_event({}, response.body, "changes");
    report(watch_failed, {}, {}, response);
    listener_.handle(watch_failed_event{});
}

void section_reader::finish_index(
    endpoint peer, section_response const& response) {
    if (response.is_ok() && has_valid_tag({}, peer, response))
        return emit_watch_event(peer, response.body, "sections");
    report(peer_read_failed, peer, "index", response);
    listener_.handle(watch_failed_event{.peer = peer});
}

void section_reader::emit_watch_event(
    endpoint peer, std::string_view body, char const* list_key) {
    std::string text(body);
    rapidjson::Document root;
    if (!wire::parse_bounded_json(root, text))
        root.SetNull();
    auto const* index = find_member(root, "index");
    bool const has_index = index != nullptr && index->IsUint64();
    auto const list = parse_list(find_member(root, list_key));
    if (!list || (!peer.is_set() && !has_index)) {
        section_response failed;
        failed.code = std::make_error_code(std::errc::bad_message);
        report(
            peer.is_set() ? peer_read_failed : watch_failed, peer, {}, failed);
        listener_.handle(watch_failed_event{.peer = peer});
        return;
    }
    watch_event event{.index = 0, .changes = *list, .peer = peer};
    if (!peer.is_set())
        event.index = index->GetUint64();
    listener_.handle(event);
}

bool section_reader::has_valid_tag(
    std::string_view name, endpoint peer, section_response const& response) {
    if (response.tag ==
        section_tag(options_.key, name, response.held, response.body))
        return true;
    log_(make_event(peer_tag_invalid, step::read_document, peer, 0, name));
    return false;
}

void section_reader::report(std::uint16_t number, endpoint peer,
    std::string_view name, section_response const& response) {
    std::string text(name);
    if (!text.empty())
        text += ": ";
    text += failure_text(response);
    log_(make_event(number, step::read_document, peer, 0, text));
}

} // namespace radishspread::runtime
