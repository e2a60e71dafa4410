#include <radishspread/config/internal/rs_fault_list.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace radishspread::config {

std::string to_string(fault const& it) {
    auto text = it.file;
    if (it.line != 0)
        text += ':' + std::to_string(it.line) + ':' + std::to_string(it.column);
    if (!it.key.empty())
        text += ": " + it.key;
    return text + ": " + it.expected;
}

namespace internal {

void fault_list::add(position where, std::string key, std::string expected) {
    if (faults_.size() == max_faults) {
        ++dropped_;
        return;
    }
    faults_.push_back({.file = file_,
        .line = where.line,
        .column = where.column,
        .key = std::move(key),
        .expected = std::move(expected)});
}

std::vector<fault> fault_list::take() {
    std::ranges::stable_sort(faults_, {},
        [](fault const& it) { return std::pair(it.line, it.column); });
    if (dropped_ != 0)
        faults_.push_back({.file = file_,
            .expected = std::to_string(dropped_) + " further faults"});
    return std::exchange(faults_, {});
}

} // namespace internal

} // namespace radishspread::config
