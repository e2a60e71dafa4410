#include <radishspread/config/internal/rs_limits_reader.hpp>

#include <array>
#include <span>

namespace radishspread::config::internal {

namespace {

/// One limit: its key, its range and the function that stores its value. Keys
/// that end in "_ms" are in milliseconds, keys that end in "_bytes" in bytes.
struct limit {
    std::string_view key;
    std::int64_t minimum;
    std::int64_t maximum;
    void (*store)(settings& out, std::int64_t value);
};

constexpr std::int64_t second = 1000;
constexpr std::int64_t minute = 60 * second;
constexpr std::int64_t hour = 60 * minute;
constexpr std::int64_t day = 24 * hour;
constexpr std::int64_t megabyte = 1 << 20;

constexpr duration ms(std::int64_t value) {
    return std::chrono::milliseconds(value);
}

/// Balancer and agent both have a document component. The settings file
/// contains its limits once, so they are stored in the options of both.
template <auto Member, class Value>
void set_document(settings& out, Value value) {
    out.balancer.document.*Member = value;
    out.agent.document.*Member = value;
}

template <auto Member>
void set_document_time(settings& out, std::int64_t value) {
    set_document<Member>(out, ms(value));
}

template <auto Member>
void set_document_size(settings& out, std::int64_t value) {
    set_document<Member>(out, static_cast<std::size_t>(value));
}

template <auto Member>
void set_balancer_time(settings& out, std::int64_t value) {
    out.balancer.*Member = ms(value);
}

template <auto Member> void set_agent_time(settings& out, std::int64_t value) {
    out.agent.*Member = ms(value);
}

template <auto Member> void set_agent_size(settings& out, std::int64_t value) {
    out.agent.*Member = static_cast<std::size_t>(value);
}

void set_stop_deadline(settings& out, std::int64_t value) {
    out.stop_deadline = ms(value);
}

void set_pending_openings(settings& out, std::int64_t value) {
    out.balancer.max_pending_openings = static_cast<std::size_t>(value);
}

void set_retry_tokens(settings& out, std::int64_t value) {
    out.agent.retry_tokens = static_cast<std::uint32_t>(value);
}

using options = document_options;

constexpr std::array common_limits{
    limit{"stop_deadline_ms", 0, hour, set_stop_deadline},
    limit{"pause_limit_ms", 200, minute,
        set_document_time<&options::pause_limit>},
    limit{
        "read_jitter_ms", 0, minute, set_document_time<&options::read_jitter>},
    limit{"retry_minimum_ms", 10, minute,
        set_document_time<&options::retry_minimum>},
    limit{"retry_maximum_ms", 10, 10 * minute,
        set_document_time<&options::retry_maximum>},
    limit{"digest_interval_ms", 100, minute,
        set_document_time<&options::digest_interval>},
    limit{"proof_timeout_ms", 100, minute,
        set_document_time<&options::proof_timeout>},
    limit{"max_sections", 1, 1024, set_document_size<&options::max_sections>},
    limit{"max_document_bytes", megabyte, 256 * megabyte,
        set_document_size<&options::max_text>},
};

constexpr std::array balancer_limits{
    limit{"open_timeout_ms", 10, 10 * second,
        set_balancer_time<&balancer_options::open_timeout>},
    limit{"suspect_window_ms", 100, 10 * minute,
        set_balancer_time<&balancer_options::suspect_window>},
    limit{"suspect_time_ms", 100, 10 * minute,
        set_balancer_time<&balancer_options::suspect_time>},
    limit{"max_pending_openings", 1, 1 << 20, set_pending_openings},
};

constexpr std::array agent_limits{
    limit{"reservation_time_ms", 100, minute,
        set_agent_time<&agent_options::reservation_time>},
    limit{"flow_idle_time_ms", minute, 30 * day,
        set_agent_time<&agent_options::flow_idle_time>},
    limit{"progress_timeout_ms", 10, minute,
        set_agent_time<&agent_options::progress_timeout>},
    limit{"handover_retry_ms", 10, minute,
        set_agent_time<&agent_options::handover_retry>},
    limit{"reconnect_minimum_ms", 10, minute,
        set_agent_time<&agent_options::reconnect_minimum>},
    limit{"reconnect_maximum_ms", 10, 10 * minute,
        set_agent_time<&agent_options::reconnect_maximum>},
    limit{"disconnected_limit_ms", 10, 10 * minute,
        set_agent_time<&agent_options::disconnected_limit>},
    limit{"max_stored_answers_bytes", megabyte, 1024 * megabyte,
        set_agent_size<&agent_options::max_stored_answers>},
    limit{"max_answer_bytes", 1024, megabyte,
        set_agent_size<&agent_options::max_answer>},
    limit{"retry_tokens", 0, 1000, set_retry_tokens},
};

void read_each(map_reader& it, std::span<limit const> limits, settings& out) {
    for (auto const& each : limits) {
        auto const value = it.integer<std::int64_t>(
            each.key, each.minimum, each.maximum, presence::optional);
        if (value)
            each.store(out, *value);
    }
}

void check_order(map_reader& it, std::string_view minimum_key, duration minimum,
    std::string_view maximum_key, duration maximum) {
    if (minimum > maximum)
        it.fault(maximum_key,
            "expected at least the value of " + std::string(minimum_key));
}

void read_agent_limits(map_reader& it, settings& out) {
    read_each(it, agent_limits, out);
    auto const ratio = it.fraction("retry_ratio", 0.0, 1.0, presence::optional);
    out.agent.retry_ratio = ratio.value_or(out.agent.retry_ratio);
    check_order(it, "reconnect_minimum_ms", out.agent.reconnect_minimum,
        "reconnect_maximum_ms", out.agent.reconnect_maximum);
    if (out.agent.max_answer > out.agent.max_stored_answers)
        it.fault("max_stored_answers_bytes",
            "expected at least the value of max_answer_bytes");
}

} // namespace

void read_limits(map_reader& top, settings& out, fault_list& faults) {
    auto const* node = top.find("limits", presence::optional);
    if (node == nullptr)
        return;
    map_reader it(*node, "limits", faults);
    read_each(it, common_limits, out);
    auto const& document = out.agent.document;
    check_order(it, "retry_minimum_ms", document.retry_minimum,
        "retry_maximum_ms", document.retry_maximum);
    if (out.role == role::balancer)
        read_each(it, balancer_limits, out);
    else
        read_agent_limits(it, out);
    it.finish();
}

} // namespace radishspread::config::internal
