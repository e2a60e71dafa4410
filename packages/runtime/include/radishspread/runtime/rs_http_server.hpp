#ifndef RADISHSPREAD_RUNTIME_RS_HTTP_SERVER_HPP
#define RADISHSPREAD_RUNTIME_RS_HTTP_SERVER_HPP

#include <radishspread/core/rs_endpoint.hpp>

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace radishspread::runtime {

/// Response of a handler.
struct http_response {
    unsigned status = 200;
    std::string content_type = "text/plain";
    std::string body;
};

/// Serves `GET` on fixed paths over HTTP/1.1, on any number of addresses.
class http_server {
public:
    using handler = std::function<http_response()>;

    http_server();
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    void add(std::string const& path, handler on_get);

    /// Returns the error message, empty on success.
    [[nodiscard]] std::string listen(endpoint at);

private:
    SoupServer* server_ = nullptr;
    std::vector<std::unique_ptr<handler>> handlers_;
};

} // namespace radishspread::runtime

#endif
