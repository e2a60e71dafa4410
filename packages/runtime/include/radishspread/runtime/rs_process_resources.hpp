#ifndef RADISHSPREAD_RUNTIME_RS_PROCESS_RESOURCES_HPP
#define RADISHSPREAD_RUNTIME_RS_PROCESS_RESOURCES_HPP

#include <radishspread/runtime/rs_metrics.hpp>

#include <string>

namespace radishspread::runtime {

/// Version of the build and limits of the process, as "key=value" pairs.
[[nodiscard]] std::string version_and_limits();

/// Adds gauges for memory, descriptors, processor time and uptime. They are
/// read from the system when the metrics are requested.
void add_resource_gauges(metrics& out);

} // namespace radishspread::runtime

#endif
