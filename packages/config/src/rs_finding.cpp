#include <radishspread/config/rs_finding.hpp>

#include <string_view>

namespace radishspread::config {

namespace {

std::string_view name_of(finding_kind kind) {
    switch (kind) {
    case finding_kind::unused:
        return "unused";
    case finding_kind::contradiction:
        return "contradiction";
    case finding_kind::risk:
        return "risk";
    case finding_kind::change:
        return "change";
    }
    return "finding";
}

} // namespace

std::string to_string(finding const& it) {
    std::string out(name_of(it.kind));
    return out.append(": ").append(it.section).append(": ").append(it.text);
}

} // namespace radishspread::config
