#include <radishspread/config/rs_review_document.hpp>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace radishspread::config {

namespace {

std::string changed(
    std::string_view what, std::string const& from, std::string const& to) {
    std::string out(what);
    return out.append(" ").append(from).append(" becomes ").append(to);
}

std::string state_of(backend_entry const& it) {
    return it.is_draining ? "draining" : "active";
}

std::string state_of(domain_entry const& it) {
    return it.is_out ? "out" : "in";
}

std::string state_of(host_entry const& it) {
    return it.is_leaving ? "leaving" : "live";
}

/// Compares two versions of one section and collects the findings.
class section_comparison {
public:
    section_comparison(std::string const& name, std::vector<finding>& out)
        : name_(name), out_(out) {}

    void compare(service_section const& from, service_section const& to) {
        // Route cookies of open flows and the callers' addresses name these.
        risk_if_changed("id", from.id, to.id);
        risk_if_changed("port", from.port, to.port);
        for_each_pair(from.backend_servers, to.backend_servers,
            [&](auto const& a, auto const& b) { compare(a, b); });
        check_reused_ids(from, to);
        check_capacity(from, to);
    }

    void compare(domains_section const& from, domains_section const& to) {
        for_each_pair(from.failure_domains, to.failure_domains,
            [&](domain_entry const& a, domain_entry const& b) {
                note_if_changed(a.name + " id", a.id, b.id);
                note_if_changed(a.name + " region", a.region, b.region);
                note_if_changed(a.name + " state", state_of(a), state_of(b));
            });
    }

    void compare(hosts_section const& from, hosts_section const& to) {
        for_each_pair(from.hosts, to.hosts,
            [&](host_entry const& a, host_entry const& b) {
                note_if_changed(a.name + " state", state_of(a), state_of(b));
            });
    }

    /// A section that was put in the place of one of another kind.
    template <class From, class To> void compare(From const&, To const&) {
        add(finding_kind::risk, "kind of the section changes");
    }

private:
    void compare(backend_entry const& from, backend_entry const& to) {
        note_if_changed(from.name + " id", from.id, to.id);
        note_if_changed(
            from.name + " failure domain", from.domain_name, to.domain_name);
        note_if_changed(
            from.name + " agent", to_string(from.agent), to_string(to.agent));
        note_if_changed(from.name + " slots", from.slots, to.slots);
        note_if_changed(
            from.name + " connections", from.connections, to.connections);
        note_if_changed(from.name + " state", state_of(from), state_of(to));
    }

    // Packets of open flows would reach another backend server.
    void check_reused_ids(
        service_section const& from, service_section const& to) {
        std::map<backend_id, std::string_view> names;
        for (auto const& it : from.backend_servers)
            names.emplace(it.id, it.name);
        for (auto const& it : to.backend_servers) {
            auto const found = names.find(it.id);
            if (found != names.end() && found->second != it.name)
                add(finding_kind::risk, it.name + " takes the id " +
                                            std::to_string(it.id) + " of " +
                                            std::string(found->second) +
                                            ", whose flows may still be open");
        }
    }

    // The rest would have to take the load of those that leave at once.
    void check_capacity(
        service_section const& from, service_section const& to) {
        auto const before = active_slots(from);
        auto const after = active_slots(to);
        if (after * 2 < before)
            add(finding_kind::risk,
                changed("active slots", std::to_string(before),
                    std::to_string(after)));
    }

    static std::uint64_t active_slots(service_section const& it) {
        std::uint64_t out = 0;
        for (auto const& each : it.backend_servers)
            out += each.is_draining ? 0 : each.slots;
        return out;
    }

    /// Reports entries that only one list has, and calls `compare_pair` for the
    /// others. Entries are the same if their names are.
    template <class Entry, class Compare>
    void for_each_pair(std::vector<Entry> const& from,
        std::vector<Entry> const& to, Compare&& compare_pair) {
        for (auto const& a : from) {
            auto const b = std::ranges::find(to, a.name, &Entry::name);
            if (b == to.end())
                note_removed(a);
            else
                compare_pair(a, *b);
        }
        for (auto const& b : to)
            if (std::ranges::find(from, b.name, &Entry::name) == from.end())
                add(finding_kind::change, b.name + " is added");
    }

    template <class Entry> void note_removed(Entry const& it) {
        add(finding_kind::change, it.name + " is removed");
    }

    // Its flows are given up, where a drain would have let them end.
    void note_removed(backend_entry const& it) {
        if (it.is_draining)
            add(finding_kind::change, it.name + " is removed");
        else
            add(finding_kind::risk, it.name + " is removed without a drain");
    }

    template <class Value>
    void note_if_changed(
        std::string const& what, Value const& from, Value const& to) {
        if (from != to)
            add(finding_kind::change,
                changed(what, text_of(from), text_of(to)));
    }

    template <class Value>
    void risk_if_changed(
        std::string const& what, Value const& from, Value const& to) {
        if (from != to)
            add(finding_kind::risk, changed(what, text_of(from), text_of(to)));
    }

    static std::string text_of(std::string const& it) { return it; }
    template <std::integral Value> static std::string text_of(Value it) {
        return std::to_string(it);
    }

    void add(finding_kind kind, std::string text) {
        out_.push_back(
            {.kind = kind, .section = name_, .text = std::move(text)});
    }

    std::string const& name_;
    std::vector<finding>& out_;
};

section const* find(
    std::span<section_ptr const> sections, std::string const& name) {
    auto const it = std::ranges::find_if(
        sections, [&](auto const& each) { return each->name == name; });
    return it == sections.end() ? nullptr : it->get();
}

} // namespace

std::vector<finding> compare_documents(
    std::span<section_ptr const> in_force, std::span<section_ptr const> next) {
    std::vector<finding> out;
    for (auto const& it : in_force) {
        auto const* found = find(next, it->name);
        if (found == nullptr) {
            out.push_back({.kind = finding_kind::change,
                .section = it->name,
                .text = "section is removed"});
            continue;
        }
        section_comparison comparison(it->name, out);
        std::visit([&](auto const& from,
                       auto const& to) { comparison.compare(from, to); },
            it->content, found->content);
    }
    for (auto const& it : next)
        if (find(in_force, it->name) == nullptr)
            out.push_back({.kind = finding_kind::change,
                .section = it->name,
                .text = "section is added"});
    return out;
}

} // namespace radishspread::config
