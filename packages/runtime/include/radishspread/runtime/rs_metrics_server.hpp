#ifndef RADISHSPREAD_RUNTIME_RS_METRICS_SERVER_HPP
#define RADISHSPREAD_RUNTIME_RS_METRICS_SERVER_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/runtime/rs_http_server.hpp>
#include <radishspread/runtime/rs_metrics.hpp>

#include <string>

namespace radishspread::runtime {

/// HTTP path of the metrics.
inline constexpr char const* metrics_path = "/metrics";

/// Response with all metrics in the Prometheus text format.
[[nodiscard]] http_response metrics_response(metrics const& source);

/// Serves `GET /metrics` over HTTP/1.1.
class metrics_server {
public:
    explicit metrics_server(metrics const& source);

    /// Returns the error message, empty on success.
    [[nodiscard]] std::string listen(endpoint at) { return server_.listen(at); }

private:
    http_server server_;
};

} // namespace radishspread::runtime

#endif
