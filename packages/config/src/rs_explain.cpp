#include <radishspread/config/rs_explain.hpp>

#include <radishspread/core/rs_candidate_selection.hpp>

#include <iomanip>
#include <sstream>
#include <string_view>
#include <vector>

namespace radishspread::config {

namespace {

/// Column widths of the table. An endpoint has at most 21 characters.
constexpr int rank_width = 6;
constexpr int name_width = 20;
constexpr int domain_width = 16;
constexpr int agent_width = 23;
constexpr int slots_width = 7;

/// The sections that the selection of candidates depends on.
struct view {
    service_section const* service = nullptr;
    domains_section const* domains = nullptr;
    std::vector<hosts_section const*> hosts;
};

view make_view(
    std::span<section_ptr const> sections, std::string const& service) {
    view result;
    for (auto const& each : sections) {
        auto const* content = &each->content;
        if (auto const* domains = std::get_if<domains_section>(content))
            result.domains = domains;
        if (auto const* hosts = std::get_if<hosts_section>(content))
            result.hosts.push_back(hosts);
        auto const* found = std::get_if<service_section>(content);
        if (found != nullptr && found->name == service)
            result.service = found;
    }
    return result;
}

std::string_view reason_of(candidate_status status) {
    switch (status) {
    case candidate_status::chosen:
        return "candidate";
    case candidate_status::ranked_lower:
        return "not a candidate: others rank higher for this flow";
    case candidate_status::draining:
        return "not a candidate: draining";
    case candidate_status::host_leaving:
        return "not a candidate: its host is leaving";
    case candidate_status::domain_out:
        return "not a candidate: its failure domain is out";
    }
    return "not a candidate";
}

template <class Rank, class Slots>
void add_row(std::ostream& out, Rank const& rank, std::string_view name,
    std::string_view domain, std::string_view agent, Slots const& slots,
    std::string_view status) {
    out << std::left << std::setw(rank_width) << rank << std::setw(name_width)
        << name << ' ' << std::setw(domain_width) << domain << ' '
        << std::setw(agent_width) << agent << std::setw(slots_width) << slots
        << status << '\n';
}

void add_row(std::ostream& out, explained_backend const& it) {
    auto const rank = it.rank == 0 ? "-" : std::to_string(it.rank);
    add_row(out, rank, it.entry->name, it.entry->domain_name,
        to_string(it.entry->agent), it.entry->slots, reason_of(it.status));
}

} // namespace

std::optional<std::string> explain(
    std::span<section_ptr const> sections, explain_query const& query) {
    auto const view = make_view(sections, query.service);
    if (view.service == nullptr)
        return std::nullopt;
    flow_key const key{.service = view.service->id,
        .caller = query.caller,
        .flow = query.flow};
    auto const rows = explain_candidates(
        *view.service, view.domains, view.hosts, key, query.attempt);
    std::ostringstream out;
    out << "service " << query.service << ", caller " << to_string(query.caller)
        << ", flow " << query.flow << ", attempt "
        << static_cast<unsigned>(query.attempt) << '\n';
    add_row(out, "rank", "backend server", "failure domain", "agent", "slots",
        "status");
    for (std::size_t rank = 1; rank <= max_candidates; ++rank)
        for (auto const& each : rows)
            if (each.rank == rank)
                add_row(out, each);
    for (auto const& each : rows)
        if (each.rank == 0)
            add_row(out, each);
    return out.str();
}

} // namespace radishspread::config
