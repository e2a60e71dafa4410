#include <radishspread/runtime/rs_metrics.hpp>

#include <array>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace radishspread::runtime;

TEST_GROUP(metrics_text){};

// A scraper rejects the whole page if one line is malformed.
TEST(metrics_text, counters_gauges_and_quantiles_are_in_the_text_format) {
    metrics registry;
    registry.add_counter("a_total", "Packets.", "kind=\"open\"").add(3);
    registry.add_counter("a_total", "Packets.", "kind=\"close\"");
    registry.add_gauge("b", "Level.", [] { return 1.5; });
    auto& samples = registry.add_distribution("c_seconds", "Times.");
    for (int n = 0; n < 1000; ++n)
        samples.add(0.25);
    CHECK_EQUAL(std::string("# HELP a_total Packets.\n"
                            "# TYPE a_total counter\n"
                            "a_total{kind=\"close\"} 0\n"
                            "a_total{kind=\"open\"} 3\n"
                            "# HELP b Level.\n"
                            "# TYPE b gauge\n"
                            "b 1.5\n"
                            "# HELP c_seconds Times.\n"
                            "# TYPE c_seconds summary\n"
                            "c_seconds{quantile=\"0.5\"} 0.25\n"
                            "c_seconds{quantile=\"0.9\"} 0.25\n"
                            "c_seconds{quantile=\"0.99\"} 0.25\n"
                            "c_seconds{quantile=\"0.999\"} 0.25\n"
                            "c_seconds_sum 250\n"
                            "c_seconds_count 1000\n"),
        registry.text());
}

TEST(metrics_text, buckets_of_a_histogram_are_cumulative) {
    metrics registry;
    constexpr std::array bounds{0.01, 0.5};
    auto& samples =
        registry.add_histogram("wait_seconds", "Waits.", "route=\"a\"", bounds);
    for (double const it : {0.0, 0.01, 0.25, 0.5, 2.0})
        samples.add(it);
    CHECK_EQUAL(std::string("# HELP wait_seconds Waits.\n"
                            "# TYPE wait_seconds histogram\n"
                            "wait_seconds_bucket{route=\"a\",le=\"0.01\"} 2\n"
                            "wait_seconds_bucket{route=\"a\",le=\"0.5\"} 4\n"
                            "wait_seconds_bucket{route=\"a\",le=\"+Inf\"} 5\n"
                            "wait_seconds_sum{route=\"a\"} 2.76\n"
                            "wait_seconds_count{route=\"a\"} 5\n"),
        registry.text());
}
