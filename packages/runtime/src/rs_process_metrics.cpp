#include <radishspread/runtime/rs_process_metrics.hpp>

#include <string>

namespace radishspread::runtime {

namespace {

constexpr std::array<std::string_view, 5> packet_names{
    "open", "request", "keepalive", "cancel", "close"};
constexpr std::array<std::string_view, 5> reply_names{
    "opened", "answer", "refused", "reset", "moved"};

std::string label(std::string_view name, std::string_view value) {
    return std::string(name) + "=\"" + std::string(value) + '"';
}

} // namespace

process_metrics::process_metrics()
    : process_metrics(std::make_unique<metrics>()) {}

process_metrics::process_metrics(std::unique_ptr<metrics> registry)
    : datagrams_received(registry->add_counter(
          "radishspread_datagrams_received_total", "Datagrams received.")),
      datagrams_malformed(
          registry->add_counter("radishspread_datagrams_malformed_total",
              "Datagrams that could not be decoded.")),
      datagrams_unexpected(
          registry->add_counter("radishspread_datagrams_unexpected_total",
              "Messages that this kind of process does not handle.")),
      datagrams_discarded(
          registry->add_counter("radishspread_datagrams_discarded_total",
              "Datagrams discarded after a pause of the process.")),
      sections_applied(
          registry->add_counter("radishspread_sections_applied_total",
              "Section revisions that came into effect.")),
      response_seconds(
          registry->add_distribution("radishspread_response_seconds",
              "Time from dispatch to response of the backend server.")),
      storage_(std::move(registry)), metrics_(*storage_) {
    for (std::size_t n = 0; n < packets_.size(); ++n)
        packets_[n] = &metrics_.add_counter("radishspread_caller_packets_total",
            "Packets from callers.", label("kind", packet_names[n]));
    for (std::size_t n = 0; n < replies_.size(); ++n)
        replies_[n] = &metrics_.add_counter("radishspread_replies_total",
            "Replies to callers.", label("kind", reply_names[n]));
    for (std::size_t n = 1; n < reasons_.size(); ++n)
        reasons_[n] = &metrics_.add_counter("radishspread_refusals_total",
            "Refusals and resets by reason.",
            label("reason", to_string(static_cast<reason>(n))));
}

} // namespace radishspread::runtime
