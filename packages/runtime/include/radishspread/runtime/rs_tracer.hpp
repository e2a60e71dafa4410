#ifndef RADISHSPREAD_RUNTIME_RS_TRACER_HPP
#define RADISHSPREAD_RUNTIME_RS_TRACER_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_time.hpp>
#include <radishspread/core/rs_trace_context.hpp>
#include <radishspread/runtime/rs_unique_fd.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <system_error>

namespace radishspread::runtime {

/// Span of one hop of a sampled packet.
struct trace_span {
    trace_context context{}; ///< As received; `parent` is the parent span.
    std::uint64_t id = 0;    ///< From `tracer::next_id`.
    std::string_view name{};
    std::uint64_t begin = 0; ///< Nanoseconds since 1970.
    std::uint64_t end = 0;
    endpoint peer{};
    service_id service = 0;
    request_id request = 0;
    std::string_view result{}; ///< Outcome of the hop, or empty.
};

/// Writes spans to a file, one line of JSON each, with the field names of
/// OTLP/JSON (`ExportTraceServiceRequest`).
class tracer {
public:
    tracer(std::string process, std::uint64_t seed);

    /// Opens the file to which spans are appended; an empty name turns tracing
    /// off.
    [[nodiscard]] std::error_code open(std::string const& file);
    [[nodiscard]] bool is_on() const { return static_cast<bool>(file_); }

    [[nodiscard]] std::uint64_t next_id();

    /// Drops the span if 1,000 have been written in the same second: callers
    /// decide what is sampled, so the rate must be bounded here.
    void write(trace_span const& span);

    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
    [[nodiscard]] std::string format_line(trace_span const& span) const;

    std::string process_name_;
    std::mt19937_64 random_;
    unique_fd file_;
    std::uint64_t current_second_ = 0;
    std::uint32_t written_in_second_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace radishspread::runtime

#endif
