#include <radishspread/runtime/rs_trace_text.hpp>

#include <cstdio>

namespace radishspread::runtime {

namespace {

using wide = unsigned long long;

} // namespace

std::string traceparent(trace_context const& it) {
    char buf[64];
    std::snprintf(buf, sizeof buf, "00-%016llx%016llx-%016llx-%02x",
        wide{it.trace_high}, wide{it.trace_low}, wide{it.parent},
        unsigned{it.flags});
    return buf;
}

std::string trace_id_text(trace_context const& it) {
    return span_id_text(it.trace_high) + span_id_text(it.trace_low);
}

std::string span_id_text(std::uint64_t id) {
    char buf[24];
    std::snprintf(buf, sizeof buf, "%016llx", wide{id});
    return buf;
}

} // namespace radishspread::runtime
