#include <radishspread/runtime/internal/rs_configuration_call.hpp>
#include <radishspread/runtime/rs_configuration_client.hpp>

namespace radishspread::runtime {

namespace {

// One for the watch, the rest for reads after a change of many sections.
constexpr int max_connections = 5;

std::string escape(std::string_view name) {
    std::string const text(name);
    char* raw = g_uri_escape_string(text.c_str(), "/", FALSE);
    std::string out = raw;
    g_free(raw);
    return out;
}

} // namespace

configuration_client::configuration_client(configuration_client_options options)
    : options_(options),
      session_(soup_session_new_with_options("max-conns-per-host",
          max_connections, "user-agent", "radishspread", "proxy-resolver",
          // The default one loads desktop settings, half of a start's time.
          nullptr, nullptr)) {}

configuration_client::~configuration_client() {
    reset();
    soup_session_abort(session_);
    g_object_unref(session_);
}

std::shared_ptr<configuration_call> configuration_client::start(endpoint from,
    std::string const& path, instant limit, response_callback call) {
    auto it = std::make_shared<configuration_call>(limit, std::move(call));
    it->start(session_, "http://" + to_string(from) + path);
    return it;
}

void configuration_client::read(
    instant now, std::string_view name, response_callback call) {
    get(options_.service, "/v1/sections/" + escape(name),
        now + options_.read_limit, std::move(call));
}

void configuration_client::get(endpoint from, std::string const& path,
    instant limit, response_callback call) {
    std::erase_if(calls_, [](auto const& it) { return it->is_done(); });
    calls_.push_back(start(from, path, limit, std::move(call)));
}

void configuration_client::watch(
    instant now, std::uint64_t after, response_callback call) {
    if (watch_ != nullptr)
        watch_->abandon();
    auto const wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        options_.watch_wait);
    auto const path = "/v1/watch?after=" + std::to_string(after) +
                      "&wait_ms=" + std::to_string(wait.count());
    watch_ = start(options_.service, path,
        now + options_.watch_wait + options_.watch_grace, std::move(call));
}

void configuration_client::tick(instant now) {
    for (auto const& it : calls_)
        if (!it->is_done() && now >= it->limit())
            it->expire();
    if (watch_ != nullptr && !watch_->is_done() && now >= watch_->limit())
        watch_->expire();
    std::erase_if(calls_, [](auto const& it) { return it->is_done(); });
}

void configuration_client::reset() {
    for (auto const& it : calls_)
        it->abandon();
    calls_.clear();
    if (watch_ != nullptr)
        watch_->abandon();
    watch_ = nullptr;
}

} // namespace radishspread::runtime
