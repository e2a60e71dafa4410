// The operator's manifest.
#ifndef REVIEW_2_MANIFEST_HPP
#define REVIEW_2_MANIFEST_HPP

#include "fleet.hpp"

namespace standin {

/// A manifest with routes 1 to `routes`, all to the service `orders`.
inline std::string manifest(
    unsigned version, fleet const& it, unsigned routes) {
    std::string list;
    for (unsigned n = 1; n <= routes; ++n)
        list += std::string(list.empty() ? "" : ",") + R"({"name":"r-)" +
                std::to_string(n) + R"(","host":")" +
                text(it.route_address(n).ip) + R"(","prefix":"/)" +
                std::to_string(it.route_address(n).port) +
                R"(/","kind":"safe","timeout-ms":2000,"target-latency-ms":200,)"
                R"("priority":2,"service":"orders","max-attempts":2})";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           list +
           R"(],"services":[{"name":"orders","health-path":"/health",)"
           R"("max-connections":2000,"protocol":"h1","tls":false,)"
           R"("warmup-s":0,"warmup-per-s":0}],"limits":{)"
           R"("max-header-bytes":16384,"max-body-bytes":262144,)"
           R"("header-timeout-ms":3000,"idle-timeout-ms":15000}})";
}

} // namespace standin

#endif
