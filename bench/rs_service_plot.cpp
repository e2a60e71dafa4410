#include <bench/rs_service_plot.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <sstream>

namespace radishspread::bench {

namespace {

// Sizes in SVG units.
constexpr double width = 900;
constexpr double panel_height = 330;
constexpr double left = 80;
constexpr double right = 170;
constexpr double top = 40;
constexpr double bottom = 60;
constexpr double plot_width = width - left - right;
constexpr double plot_height = panel_height - top - bottom;

constexpr std::array<char const*, 4> colors{
    "#1b7837", "#d95f02", "#c51b7d", "#4575b4"};
/// Lines also differ in their dash pattern, for readers who cannot distinguish
/// the colors.
constexpr std::array<char const*, 4> dashes{"none", "8 3", "2 3", "10 3 2 3"};

/// Writes one panel whose upper edge is at `offset`.
class panel_writer {
public:
    panel_writer(std::ostream& out, plot_panel const& panel, double offset)
        : out_(out), panel_(panel), offset_(offset) {
        for (auto const& line : panel.lines) {
            seconds_ = std::max(seconds_, line.values.size());
            for (auto const value : line.values)
                largest_ = std::max(largest_, value);
        }
        step_ = std::pow(10.0, std::floor(std::log10(largest_)));
        if (largest_ / step_ < 4)
            step_ /= 2;
        largest_ = std::ceil(largest_ / step_) * step_;
    }

    void write() {
        text(left + plot_width / 2, -15, "middle", panel_.title, 16);
        write_outage();
        write_axes();
        for (std::size_t n = 0; n < panel_.lines.size(); ++n)
            write_line(n);
    }

private:
    [[nodiscard]] double x(double second) const {
        return left + plot_width * second / static_cast<double>(seconds_);
    }
    /// Distance from the upper edge of the plot area.
    [[nodiscard]] double y(double value) const {
        return plot_height * (1 - value / largest_);
    }

    void text(double at_x, double at_y, char const* anchor,
        std::string const& value, int size = 12) {
        out_ << "<text x='" << at_x << "' y='" << offset_ + top + at_y
             << "' text-anchor='" << anchor << "' font-size='" << size << "'>"
             << value << "</text>\n";
    }

    void line(double x1, double y1, double x2, double y2, char const* style) {
        out_ << "<line x1='" << x1 << "' y1='" << offset_ + top + y1 << "' x2='"
             << x2 << "' y2='" << offset_ + top + y2 << "' " << style << "/>\n";
    }

    void write_outage() {
        auto const from = x(panel_.outage_begin);
        auto const to = x(panel_.outage_end);
        out_ << "<rect x='" << from << "' y='" << offset_ + top << "' width='"
             << to - from << "' height='" << plot_height
             << "' fill='#e8e8e8'/>\n";
        text((from + to) / 2, 14, "middle", "failure domain out");
    }

    void write_axes() {
        char const* const axis = "stroke='black'";
        line(left, 0, left, plot_height, axis);
        line(left, plot_height, left + plot_width, plot_height, axis);
        auto const steps = std::lround(largest_ / step_);
        for (long n = 0; n <= steps; ++n) {
            auto const value = static_cast<double>(n) * step_;
            line(left - 5, y(value), left, y(value), axis);
            text(left - 8, y(value) + 4, "end",
                std::to_string(std::lround(value)));
        }
        for (std::size_t n = 0; n <= seconds_; n += 5) {
            auto const at = x(static_cast<double>(n));
            line(at, plot_height, at, plot_height + 5, axis);
            text(at, plot_height + 18, "middle", std::to_string(n));
        }
        text(left + plot_width / 2, plot_height + 38, "middle", "time (s)", 14);
        auto const middle = offset_ + top + plot_height / 2;
        out_ << "<text x='20' y='" << middle
             << "' text-anchor='middle' font-size='14' transform='rotate(-90 "
                "20 "
             << middle << ")'>requests per second</text>\n";
    }

    void write_line(std::size_t n) {
        std::ostringstream style;
        style << "fill='none' stroke-width='2.5' stroke='"
              << colors[n % colors.size()] << "' stroke-dasharray='"
              << dashes[n % dashes.size()] << "'";
        out_ << "<polyline " << style.str() << " points='";
        auto const& values = panel_.lines[n].values;
        for (std::size_t i = 0; i < values.size(); ++i)
            out_ << x(static_cast<double>(i) + 0.5) << ','
                 << offset_ + top + y(values[i]) << ' ';
        out_ << "'/>\n";
        auto const at = 20 + 24.0 * static_cast<double>(n);
        auto const from = left + plot_width + 15;
        line(from, at, from + 40, at, style.str().c_str());
        text(from + 48, at + 4, "start", panel_.lines[n].name);
    }

    std::ostream& out_;
    plot_panel const& panel_;
    double offset_;
    std::size_t seconds_ = 1;
    double largest_ = 1;
    double step_ = 1;
};

} // namespace

bool write_plot(
    std::string const& file, std::vector<plot_panel> const& panels) {
    std::ofstream out(file);
    auto const height = panel_height * static_cast<double>(panels.size());
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width
        << "' height='" << height
        << "' font-family='sans-serif'>\n<rect width='100%' height='100%' "
           "fill='white'/>\n";
    for (std::size_t n = 0; n < panels.size(); ++n)
        panel_writer(out, panels[n], panel_height * static_cast<double>(n))
            .write();
    out << "</svg>\n";
    return out.good();
}

} // namespace radishspread::bench
