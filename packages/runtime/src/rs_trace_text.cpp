#include <radishspread/runtime/rs_trace_text.hpp>

#include <cstdio>

namespace radishspread::runtime {

namespace {

using hex_value = unsigned long long;

} // namespace

std::string traceparent(trace_context const& context) {
    char buf[64];
    std::snprintf(buf, sizeof buf, "00-%016llx%016llx-%016llx-%02x",
        hex_value{context.trace_high}, hex_value{context.trace_low},
        hex_value{context.parent}, unsigned{context.flags});
    return buf;
}

std::string trace_id_text(trace_context const& context) {
    return span_id_text(context.trace_high) + span_id_text(context.trace_low);
}

std::string span_id_text(std::uint64_t id) {
    char buf[24];
    std::snprintf(buf, sizeof buf, "%016llx", hex_value{id});
    return buf;
}

} // namespace radishspread::runtime
