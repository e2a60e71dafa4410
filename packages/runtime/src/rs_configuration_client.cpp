#include <radishspread/runtime/internal/rs_configuration_call.hpp>
#include <radishspread/runtime/rs_configuration_client.hpp>

namespace radishspread::runtime {

namespace {

// One connection for the watch, the others for reads after a change of many
// sections.
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
    : options_(options), budget_(options.calls_per_second),
      session_(soup_session_new_with_options("max-conns-per-host",
          max_connections, "user-agent", "radishspread", "proxy-resolver",
          // No proxy resolver: the default one loads desktop settings, which
          // takes half of the start-up time.
          nullptr, nullptr)) {}

configuration_client::~configuration_client() {
    reset();
    soup_session_abort(session_);
    g_object_unref(session_);
}

std::shared_ptr<configuration_call> configuration_client::start(endpoint from,
    std::string const& path, instant deadline, response_callback callback) {
    auto call = std::make_shared<configuration_call>(deadline,
        options_.max_reply_size, options_.era_header, std::move(callback));
    call->start(session_, "http://" + to_string(from) + path);
    return call;
}

void configuration_client::read(
    instant now, std::string_view name, response_callback callback) {
    get(options_.service, "/v1/sections/" + escape(name),
        now + options_.read_timeout, std::move(callback));
}

std::weak_ptr<configuration_call> configuration_client::get(endpoint from,
    std::string const& path, instant deadline, response_callback callback) {
    std::erase_if(calls_, [](auto const& call) { return call->is_done(); });
    calls_.push_back(start(from, path, deadline, std::move(callback)));
    return calls_.back();
}

void configuration_client::cancel(
    std::weak_ptr<configuration_call> const& call) {
    if (auto const found = call.lock(); found != nullptr)
        found->abandon();
}

void configuration_client::watch(
    instant now, std::uint64_t after, response_callback callback) {
    if (watch_ != nullptr)
        watch_->abandon();
    auto const wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        options_.watch_wait);
    auto const path = "/v1/watch?after=" + std::to_string(after) +
                      "&wait_ms=" + std::to_string(wait.count());
    watch_ = start(options_.service, path,
        now + options_.watch_wait + options_.watch_grace, std::move(callback));
}

void configuration_client::tick(instant now) {
    for (auto const& call : calls_)
        if (!call->is_done() && now >= call->deadline())
            call->expire();
    if (watch_ != nullptr && !watch_->is_done() && now >= watch_->deadline())
        watch_->expire();
    std::erase_if(calls_, [](auto const& call) { return call->is_done(); });
}

void configuration_client::reset() {
    for (auto const& call : calls_)
        call->abandon();
    calls_.clear();
    if (watch_ != nullptr)
        watch_->abandon();
    watch_ = nullptr;
}

} // namespace radishspread::runtime
