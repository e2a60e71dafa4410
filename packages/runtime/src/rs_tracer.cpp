#include <radishspread/runtime/rs_step_error.hpp>
#include <radishspread/runtime/rs_trace_text.hpp>
#include <radishspread/runtime/rs_tracer.hpp>

#include <fcntl.h>
#include <nlohmann/json.hpp>

namespace radishspread::runtime {

namespace {

constexpr std::uint64_t nanoseconds_per_second = 1'000'000'000;
constexpr std::uint32_t max_spans_per_second = 1000;

// `SPAN_KIND_SERVER` of OTLP, since each hop handles a received packet.
constexpr int span_kind_server = 2;

using json = nlohmann::json;

json attribute(std::string_view key, std::string_view value) {
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

} // namespace

tracer::tracer(std::string process, std::uint64_t seed)
    : process_name_(std::move(process)), random_(seed) {}

std::error_code tracer::open(std::string const& file) {
    file_ = unique_fd();
    if (file.empty())
        return {};
    constexpr int mode = 0640;
    file_ = unique_fd(
        ::open(file.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, mode));
    return file_ ? std::error_code() : last_system_error();
}

std::uint64_t tracer::next_id() {
    // OTLP does not allow a span id of all zeros.
    return random_() | 1U;
}

void tracer::write(trace_span const& span) {
    if (!file_)
        return;
    auto const second = span.end / nanoseconds_per_second;
    if (second != current_second_) {
        current_second_ = second;
        written_in_second_ = 0;
    }
    if (++written_in_second_ > max_spans_per_second) {
        ++dropped_;
        return;
    }
    auto const text = format_line(span) + '\n';
    if (::write(file_.get(), text.data(), text.size()) < 0)
        ++dropped_;
}

std::string tracer::format_line(trace_span const& span) const {
    json attributes = json::array();
    attributes.push_back(
        attribute("radishspread.service", std::to_string(span.service)));
    if (span.request != 0)
        attributes.push_back(
            attribute("radishspread.request", std::to_string(span.request)));
    if (span.peer.is_set())
        attributes.push_back(
            attribute("network.peer.address", to_string(span.peer)));
    if (!span.result.empty())
        attributes.push_back(attribute("radishspread.result", span.result));
    json const record{{"traceId", trace_id_text(span.context)},
        {"spanId", span_id_text(span.id)},
        {"parentSpanId", span_id_text(span.context.parent)},
        {"name", span.name}, {"kind", span_kind_server},
        {"startTimeUnixNano", std::to_string(span.begin)},
        {"endTimeUnixNano", std::to_string(span.end)},
        {"attributes", std::move(attributes)}};
    json const resource{{"attributes",
        json::array({attribute("service.name", process_name_)})}};
    json const scope{{"scope", {{"name", "radishspread"}}},
        {"spans", json::array({record})}};
    json const root{
        {"resourceSpans", json::array({json{{"resource", resource},
                              {"scopeSpans", json::array({scope})}}})}};
    return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace radishspread::runtime
