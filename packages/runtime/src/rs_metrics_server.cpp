#include <radishspread/runtime/rs_metrics_server.hpp>

namespace radishspread::runtime {

http_response metrics_response(metrics const& source) {
    return {.content_type = "text/plain; version=0.0.4", .body = source.text()};
}

metrics_server::metrics_server(metrics const& source) {
    server_.add(metrics_path, [&source] { return metrics_response(source); });
}

} // namespace radishspread::runtime
