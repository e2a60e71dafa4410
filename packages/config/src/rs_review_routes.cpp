#include <radishspread/config/rs_review_routes.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace radishspread::config {

namespace {

std::string in_ms(duration it) {
    return std::to_string(it / std::chrono::milliseconds(1)) + " ms";
}

/// Service that takes new flows; empty without any.
std::string_view service_of(published_route const& route) {
    auto const found =
        std::ranges::max_element(route.services, {}, &weighted_service::weight);
    return found == route.services.end() ? std::string_view() : found->name;
}

/// Collects the findings about one version of the routes.
class route_review {
public:
    explicit route_review(published_routes const& routes) : routes_(routes) {}

    std::vector<finding> run() && {
        std::set<std::string_view> listed;
        for (auto const& it : routes_.services)
            listed.insert(it.name);
        std::map<endpoint, std::string_view> names;
        for (auto const& it : routes_.routes) {
            check_address(it, names);
            check_services(it, listed);
            check_times(it);
        }
        for (auto const& it : routes_.services)
            check_service(it);
        return std::move(found_);
    }

private:
    // Processes use the first route of an address.
    void check_address(published_route const& it,
        std::map<endpoint, std::string_view>& names) {
        auto const [found, is_new] = names.emplace(it.address, it.name);
        if (!is_new)
            add(finding_kind::unused, it.name,
                "never matches: " + to_string(it.address) +
                    " is the address of route " + std::string(found->second));
    }

    void check_services(
        published_route const& it, std::set<std::string_view> const& listed) {
        auto const chosen = service_of(it);
        if (chosen.empty())
            add(finding_kind::unused, it.name, "names no service");
        for (auto const& each : it.services) {
            if (!listed.contains(each.name))
                add(finding_kind::contradiction, it.name,
                    "service " + each.name + " is not listed");
            if (each.name != chosen)
                add(finding_kind::unused, it.name,
                    "service " + each.name + " takes no flows: " +
                        std::string(chosen) + " has the highest weight");
        }
    }

    void check_times(published_route const& it) {
        bool const has_timeout = it.timeout > duration{0};
        if (has_timeout && it.goal > it.timeout)
            add(finding_kind::contradiction, it.name,
                "goal " + in_ms(it.goal) + " is longer than timeout " +
                    in_ms(it.timeout));
        bool const has_idle_timeout = routes_.idle_timeout > duration{0};
        if (has_idle_timeout && it.timeout > routes_.idle_timeout)
            add(finding_kind::contradiction, it.name,
                "timeout " + in_ms(it.timeout) +
                    " is longer than the idle timeout " +
                    in_ms(routes_.idle_timeout));
    }

    void check_service(published_service const& it) {
        bool const has_route = std::ranges::any_of(routes_.routes,
            [&](auto const& route) { return service_of(route) == it.name; });
        if (!has_route)
            add(finding_kind::unused, it.name, "no route leads to the service");
        if (it.openings_per_second > 0 && it.warmup_period <= duration{0})
            add(finding_kind::contradiction, it.name,
                "limit at cold backend servers without a time for which they "
                "are cold");
    }

    void add(finding_kind kind, std::string const& name, std::string text) {
        found_.push_back(
            {.kind = kind, .section = name, .text = std::move(text)});
    }

    published_routes const& routes_;
    std::vector<finding> found_;
};

/// Compares two versions and collects the findings.
class route_comparison {
public:
    std::vector<finding> run(
        published_routes const& from, published_routes const& to) && {
        // Processes never go back to a lower version.
        if (to.version <= from.version)
            add(finding_kind::risk, "version",
                std::to_string(to.version) + " is not higher than " +
                    std::to_string(from.version) + ", so it has no effect");
        for (auto const& it : from.routes) {
            auto const* next = find(to.routes, it.name);
            if (next == nullptr)
                add(finding_kind::change, it.name, "route is removed");
            else
                compare(it, *next);
            check_address(it, to);
        }
        for (auto const& it : to.routes)
            if (find(from.routes, it.name) == nullptr)
                add(finding_kind::change, it.name, "route is added");
        compare_services(from, to);
        return std::move(found_);
    }

private:
    // Flows belong to an address; a route may be renamed.
    void check_address(
        published_route const& from, published_routes const& to) {
        if (std::ranges::find(to.routes, from.address,
                &published_route::address) == to.routes.end())
            add(finding_kind::risk, from.name,
                "no route has the address " + to_string(from.address) +
                    " any more, its open flows are reset");
    }

    void compare(published_route const& from, published_route const& to) {
        note(from.name, "address", to_string(from.address),
            to_string(to.address));
        auto const service = std::string(service_of(from));
        auto const next = std::string(service_of(to));
        note(from.name, "service of new flows", service, next);
        note(from.name, "timeout", in_ms(from.timeout), in_ms(to.timeout));
        note(from.name, "goal", in_ms(from.goal), in_ms(to.goal));
        note(from.name, "priority", std::to_string(from.priority),
            std::to_string(to.priority));
    }

    void compare_services(
        published_routes const& from, published_routes const& to) {
        for (auto const& it : from.services) {
            auto const* next = find(to.services, it.name);
            if (next == nullptr)
                add(finding_kind::change, it.name, "service is removed");
            else
                compare(it, *next);
        }
        for (auto const& it : to.services)
            if (find(from.services, it.name) == nullptr)
                add(finding_kind::change, it.name, "service is added");
    }

    void compare(published_service const& from, published_service const& to) {
        note(from.name, "cold time", in_ms(from.warmup_period),
            in_ms(to.warmup_period));
        note(from.name, "openings a second at a cold server",
            std::to_string(from.openings_per_second),
            std::to_string(to.openings_per_second));
    }

    template <class Entry>
    static Entry const* find(
        std::vector<Entry> const& entries, std::string const& name) {
        auto const it = std::ranges::find(entries, name, &Entry::name);
        return it == entries.end() ? nullptr : &*it;
    }

    void note(std::string const& name, std::string what,
        std::string const& from, std::string const& to) {
        if (from != to)
            add(finding_kind::change, name,
                what.append(" ").append(from).append(" becomes ").append(to));
    }

    void add(finding_kind kind, std::string const& name, std::string text) {
        found_.push_back(
            {.kind = kind, .section = name, .text = std::move(text)});
    }

    std::vector<finding> found_;
};

} // namespace

std::vector<finding> review_routes(published_routes const& it) {
    return route_review(it).run();
}

std::vector<finding> compare_routes(
    published_routes const& in_force, published_routes const& next) {
    return route_comparison().run(in_force, next);
}

} // namespace radishspread::config
