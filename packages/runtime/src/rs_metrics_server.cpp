#include <radishspread/runtime/rs_metrics_server.hpp>

#include <netinet/in.h>

namespace radishspread::runtime {

namespace {

void handle_request(SoupServer*, SoupServerMessage* message, char const*,
    GHashTable*, gpointer data) {
    if (std::string_view(soup_server_message_get_method(message)) != "GET") {
        soup_server_message_set_status(
            message, SOUP_STATUS_METHOD_NOT_ALLOWED, nullptr);
        return;
    }
    auto const text = static_cast<metrics const*>(data)->text();
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(message, "text/plain; version=0.0.4",
        SOUP_MEMORY_COPY, text.data(), text.size());
}

} // namespace

metrics_server::metrics_server(metrics const& source)
    : source_(source),
      server_(soup_server_new("server-header", "radishspread", nullptr)) {
    soup_server_add_handler(server_, "/metrics", handle_request,
        const_cast<metrics*>(&source_), nullptr);
}

metrics_server::~metrics_server() {
    soup_server_disconnect(server_);
    g_object_unref(server_);
}

std::string metrics_server::listen(endpoint at) {
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_addr.s_addr = htonl(at.address);
    native.sin_port = htons(at.port);
    auto* address = g_socket_address_new_from_native(&native, sizeof native);
    GError* error = nullptr;
    soup_server_listen(server_, address, SoupServerListenOptions(0), &error);
    g_object_unref(address);
    if (error == nullptr)
        return {};
    std::string text = error->message;
    g_error_free(error);
    return text;
}

} // namespace radishspread::runtime
