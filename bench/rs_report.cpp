#include <bench/rs_report.hpp>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <fstream>

namespace radishspread::bench {

namespace {

std::string target_text(figure const& it) {
    if (!it.bound)
        return "-";
    char text[48];
    std::snprintf(text, sizeof text, "%s %.6g",
        it.bound->relation == target::kind::at_most ? "<=" : ">=",
        it.bound->value);
    return text;
}

std::string value_text(figure const& it) {
    if (!it.value)
        return "-";
    char text[32];
    std::snprintf(text, sizeof text, "%.4g", *it.value);
    if (*it.value >= 1000 || *it.value == 0)
        std::snprintf(text, sizeof text, "%.0f", *it.value);
    return text;
}

} // namespace

std::string mark_of(figure const& it) {
    if (!it.value)
        return "not measured";
    if (!it.bound)
        return "no target";
    bool const is_met = it.bound->relation == target::kind::at_most
                            ? *it.value <= it.bound->value
                            : *it.value >= it.bound->value;
    return is_met ? "met" : "not met";
}

void print(table const& it) {
    std::printf("\n%s\n", it.title.c_str());
    if (!it.note.empty())
        std::printf("%s\n", it.note.c_str());
    std::printf(
        "%-64s %10s %12s %-10s %s\n", "", "target", "figure", "unit", "mark");
    for (auto const& row : it.figures)
        std::printf("%-64s %10s %12s %-10s %s\n", row.name.c_str(),
            target_text(row).c_str(), value_text(row).c_str(), row.unit.c_str(),
            mark_of(row).c_str());
    for (auto const& row : it.per_second) {
        std::printf("%s, per second:", row.name.c_str());
        for (auto const value : row.values)
            std::printf(" %.0f", value);
        std::printf("\n");
    }
    std::fflush(stdout);
}

bool write_json(std::string const& file, std::uint64_t seed,
    std::vector<table> const& all) {
    nlohmann::ordered_json result;
    result["seed"] = seed;
    for (auto const& it : all) {
        nlohmann::ordered_json rows = nlohmann::ordered_json::array();
        for (auto const& row : it.figures) {
            nlohmann::ordered_json entry{
                {"name", row.name}, {"unit", row.unit}, {"mark", mark_of(row)}};
            if (row.value)
                entry["value"] = *row.value;
            if (row.bound)
                entry["target"] = target_text(row);
            rows.push_back(std::move(entry));
        }
        nlohmann::ordered_json per_second = nlohmann::ordered_json::object();
        for (auto const& row : it.per_second)
            per_second[row.name] = row.values;
        result["tables"].push_back({{"title", it.title}, {"note", it.note},
            {"figures", std::move(rows)}, {"per_second", per_second}});
    }
    std::ofstream out(file);
    out << result.dump(2) << '\n';
    return out.good();
}

} // namespace radishspread::bench
