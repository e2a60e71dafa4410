#include <radishspread/runtime/rs_metrics.hpp>

#include <cstdio>

namespace radishspread::runtime {

namespace {

namespace acc = boost::accumulators;

std::string number_text(double value) {
    char buf[32];
    std::snprintf(buf, sizeof buf, "%.9g", value);
    return buf;
}

void append_sample(std::string& out, std::string_view name,
    std::string_view labels, std::string_view value) {
    out += name;
    if (!labels.empty()) {
        out += '{';
        out += labels;
        out += '}';
    }
    out += ' ';
    out += value;
    out += '\n';
}

void append_heading(std::string& out, std::string_view name,
    std::string_view help, std::string_view type) {
    out += "# HELP ";
    out += name;
    out += ' ';
    out += help;
    out += "\n# TYPE ";
    out += name;
    out += ' ';
    out += type;
    out += '\n';
}

void append_distribution(
    std::string& out, std::string const& name, distribution const& samples) {
    for (std::size_t n = 0; n < reported_quantiles.size(); ++n) {
        auto const labels =
            "quantile=\"" + number_text(reported_quantiles[n]) + '"';
        if (samples.count() > 0)
            append_sample(out, name, labels, number_text(samples.quantile(n)));
    }
    append_sample(out, name + "_sum", {}, number_text(samples.sum()));
    append_sample(out, name + "_count", {}, std::to_string(samples.count()));
}

void append_histogram(std::string& out, std::string const& name,
    std::string const& labels, histogram const& samples) {
    auto const prefix = labels.empty() ? labels : labels + ',';
    auto const bounds = samples.bounds();
    for (std::size_t n = 0; n < bounds.size(); ++n)
        append_sample(out, name + "_bucket",
            prefix + "le=\"" + number_text(bounds[n]) + '"',
            std::to_string(samples.count_up_to(n)));
    append_sample(out, name + "_bucket", prefix + "le=\"+Inf\"",
        std::to_string(samples.count()));
    append_sample(out, name + "_sum", labels, number_text(samples.sum()));
    append_sample(
        out, name + "_count", labels, std::to_string(samples.count()));
}

} // namespace

distribution::distribution()
    : samples_(acc::extended_p_square_probabilities = reported_quantiles) {}

std::uint64_t distribution::count() const {
    return acc::count(samples_);
}

double distribution::sum() const {
    return acc::sum(samples_);
}

double distribution::quantile(std::size_t n) const {
    return acc::extended_p_square(samples_)[static_cast<std::ptrdiff_t>(n)];
}

metrics::family& metrics::find(std::string_view name, std::string_view help) {
    auto& it = families_[std::string(name)];
    it.help = help;
    return it;
}

counter& metrics::add_counter(
    std::string_view name, std::string_view help, std::string_view labels) {
    auto& it = find(name, help).counters[std::string(labels)];
    if (it == nullptr)
        it = std::make_unique<counter>();
    return *it;
}

distribution& metrics::add_distribution(
    std::string_view name, std::string_view help) {
    auto& it = find(name, help).samples;
    if (it == nullptr)
        it = std::make_unique<distribution>();
    return *it;
}

histogram& metrics::add_histogram(std::string_view name, std::string_view help,
    std::string_view labels, std::span<double const> bounds) {
    auto& it = find(name, help).histograms[std::string(labels)];
    if (it == nullptr)
        it = std::make_unique<histogram>(bounds);
    return *it;
}

void metrics::add_gauge(
    std::string_view name, std::string_view help, gauge read_value) {
    find(name, help).read_value = std::move(read_value);
}

std::string metrics::text() const {
    std::string out;
    for (auto const& [name, it] : families_) {
        if (it.samples != nullptr) {
            append_heading(out, name, it.help, "summary");
            append_distribution(out, name, *it.samples);
        } else if (!it.histograms.empty()) {
            append_heading(out, name, it.help, "histogram");
            for (auto const& [labels, samples] : it.histograms)
                append_histogram(out, name, labels, *samples);
        } else if (it.read_value) {
            append_heading(out, name, it.help, "gauge");
            append_sample(out, name, {}, number_text(it.read_value()));
        } else {
            append_heading(out, name, it.help, "counter");
            for (auto const& [labels, value] : it.counters)
                append_sample(
                    out, name, labels, std::to_string(value->value()));
        }
    }
    return out;
}

} // namespace radishspread::runtime
