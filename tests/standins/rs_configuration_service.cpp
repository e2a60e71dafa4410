#include <standins/rs_configuration_service.hpp>
#include <standins/rs_socket.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace radishspread::standins {

namespace {

constexpr std::string_view sections_path = "/v1/sections/";
constexpr std::string_view watch_path = "/v1/watch";

std::uint64_t query_number(GHashTable* query, char const* key) {
    auto const* const text =
        query == nullptr
            ? nullptr
            : static_cast<char const*>(g_hash_table_lookup(query, key));
    return text == nullptr ? 0 : g_ascii_strtoull(text, nullptr, 10);
}

void respond(
    SoupServerMessage* message, char const* type, std::string const& body) {
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(
        message, type, SOUP_MEMORY_COPY, body.data(), body.size());
}

} // namespace

configuration_service::configuration_service(
    section_store& store, endpoint address)
    : store_(store), address_(address),
      server_(soup_server_new("server-header", "configuration", nullptr)) {
    auto const handler = [](SoupServer*, SoupServerMessage* message,
                             char const* path, GHashTable* query,
                             gpointer self) {
        static_cast<configuration_service*>(self)->serve(message, path, query);
    };
    soup_server_add_handler(server_, nullptr, handler, this, nullptr);
    store_.on_edit([this] { wake_watchers(); });
    listen();
}

configuration_service::~configuration_service() {
    stop();
    g_object_unref(server_);
}

void configuration_service::listen() {
    auto const name = to_sockaddr(address_);
    auto raw = name;
    auto* const target = g_socket_address_new_from_native(&raw, sizeof raw);
    GError* error = nullptr;
    auto const done = soup_server_listen(
        server_, target, static_cast<SoupServerListenOptions>(0), &error);
    g_object_unref(target);
    if (done == 0) {
        std::string const text = error->message;
        g_error_free(error);
        throw std::runtime_error("listen " + to_string(address_) + ": " + text);
    }
}

void configuration_service::set_down(bool down) {
    if (down == is_down_)
        return;
    is_down_ = down;
    if (down)
        stop();
    else
        listen();
}

void configuration_service::stop() {
    soup_server_disconnect(server_);
    while (!watchers_.empty()) {
        soup_server_message_set_status(watchers_.front().message,
            SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
        end_watch(watchers_.begin(), true);
    }
}

void configuration_service::set_visible_limit(revision limit) {
    visible_limit_ = limit;
    wake_watchers();
}

void configuration_service::serve(
    SoupServerMessage* message, std::string const& path, GHashTable* query) {
    ++calls_;
    // Connections that were open when the service went down can still deliver
    // requests.
    if (is_down_)
        soup_server_message_set_status(
            message, SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
    else if (path.starts_with(sections_path))
        serve_section(message, path.substr(sections_path.size()));
    else if (path == watch_path)
        serve_watch(message, query);
    else
        soup_server_message_set_status(message, SOUP_STATUS_NOT_FOUND, nullptr);
}

void configuration_service::serve_section(
    SoupServerMessage* message, std::string const& name) {
    auto const* const section = store_.find(name, visible_limit_);
    if (section == nullptr) {
        soup_server_message_set_status(message, SOUP_STATUS_NOT_FOUND, nullptr);
        return;
    }
    auto* const headers = soup_server_message_get_response_headers(message);
    soup_message_headers_replace(headers, "X-Revision",
        std::to_string(section->revision_number).c_str());
    respond(message, "application/yaml", section->text);
}

void configuration_service::serve_watch(
    SoupServerMessage* message, GHashTable* query) {
    auto const after = query_number(query, "after");
    auto const wait = std::chrono::milliseconds(query_number(query, "wait_ms"));
    if (store_.changes(after, visible_limit_).empty() && wait.count() > 0)
        suspend_watch(message, after, wait);
    else
        respond_to_watch(message, after);
}

void configuration_service::suspend_watch(
    SoupServerMessage* message, revision after, duration wait) {
    g_object_ref(message);
    soup_server_message_pause(message);
    auto const on_end = [](SoupServerMessage* it, gpointer self) {
        static_cast<configuration_service*>(self)->on_disconnected(it);
    };
    g_signal_connect(message, "disconnected",
        G_CALLBACK(static_cast<void (*)(SoupServerMessage*, gpointer)>(on_end)),
        this);
    auto const it = watchers_.insert(watchers_.end(), {message, after, {}});
    it->timeout = call_after(wait, [this, it] {
        respond_to_watch(it->message, it->after);
        end_watch(it, true);
    });
}

void configuration_service::respond_to_watch(
    SoupServerMessage* message, revision after) {
    nlohmann::json body;
    body["index"] = std::min(store_.index(), visible_limit_);
    body["changes"] = nlohmann::json::array();
    for (auto const& [name, revision_number] :
        store_.changes(after, visible_limit_))
        body["changes"].push_back(
            {{"name", name}, {"revision", revision_number}});
    respond(message, "application/json", body.dump());
}

void configuration_service::wake_watchers() {
    for (auto it = watchers_.begin(); it != watchers_.end();) {
        auto const next = std::next(it);
        if (!store_.changes(it->after, visible_limit_).empty()) {
            respond_to_watch(it->message, it->after);
            end_watch(it, true);
        }
        it = next;
    }
}

void configuration_service::end_watch(
    std::list<watcher>::iterator it, bool is_answered) {
    auto* const message = it->message;
    watchers_.erase(it);
    g_signal_handlers_disconnect_by_data(message, this);
    if (is_answered)
        soup_server_message_unpause(message);
    g_object_unref(message);
}

void configuration_service::on_disconnected(SoupServerMessage* message) {
    auto const found = std::find_if(watchers_.begin(), watchers_.end(),
        [&](auto const& it) { return it.message == message; });
    if (found != watchers_.end())
        end_watch(found, false);
}

} // namespace radishspread::standins
