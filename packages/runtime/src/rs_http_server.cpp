#include <radishspread/runtime/rs_http_server.hpp>

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
    auto const response = (*static_cast<http_server::handler*>(data))();
    soup_server_message_set_status(message, response.status, nullptr);
    soup_server_message_set_response(message, response.content_type.c_str(),
        SOUP_MEMORY_COPY, response.body.data(), response.body.size());
}

} // namespace

http_server::http_server()
    : server_(soup_server_new("server-header", "radishspread", nullptr)) {}

http_server::~http_server() {
    soup_server_disconnect(server_);
    g_object_unref(server_);
}

void http_server::add(std::string const& path, handler on_get) {
    handlers_.push_back(std::make_unique<handler>(std::move(on_get)));
    soup_server_add_handler(
        server_, path.c_str(), handle_request, handlers_.back().get(), nullptr);
}

std::string http_server::listen(endpoint at) {
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
