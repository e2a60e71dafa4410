#ifndef RADISHSPREAD_RUNTIME_RS_METRICS_SERVER_HPP
#define RADISHSPREAD_RUNTIME_RS_METRICS_SERVER_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/runtime/rs_metrics.hpp>

#include <libsoup/soup.h>

#include <string>

namespace radishspread::runtime {

/// Serves `GET /metrics` over HTTP/1.1.
class metrics_server {
public:
    explicit metrics_server(metrics const& source);
    ~metrics_server();
    metrics_server(metrics_server const&) = delete;
    metrics_server& operator=(metrics_server const&) = delete;

    /// Returns why it could not listen, or an empty text.
    [[nodiscard]] std::string listen(endpoint at);

private:
    metrics const& source_;
    SoupServer* server_ = nullptr;
};

} // namespace radishspread::runtime

#endif
