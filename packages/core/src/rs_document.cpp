#include <radishspread/core/rs_document.hpp>

#include <algorithm>
#include <utility>

namespace radishspread {

namespace {

/// Longest section name that is accepted, in bytes.
constexpr std::size_t max_section_name = 128;

} // namespace

document::document(document_options options)
    : options_(std::move(options)),
      service_name_("service/" + options_.service),
      hosts_name_("hosts/" + options_.failure_domain), random_(options_.seed),
      table_(options_.max_sections, options_.max_text),
      reads_(options_.max_sections), peers_(options_.self, options_.peers) {}

section_ptr document::find(std::string_view name) const {
    return table_.find(name);
}

service_section const* document::service(service_id id) const {
    auto const* found = table_.service(id);
    return found == nullptr ? nullptr
                            : &std::get<service_section>(found->content);
}

revision document::held(std::string_view name) const {
    return table_.held(name);
}

bool document::is_out(domain_id id) const {
    return table_.is_out(id);
}

bool document::is_leaving(std::string_view host) const {
    return table_.is_leaving(host);
}

bool document::is_proving(instant now) const {
    return !proof_.is_proven && now - proof_.since < options_.proof_timeout;
}

bool document::is_proven() const {
    return proof_.is_proven;
}

stamp document::make_stamp(service_id service) const {
    auto const* found = table_.service(service);
    return {.sender = options_.self,
        .incarnation = options_.incarnation,
        .service_revision = found == nullptr ? 0 : found->held,
        .domains_revision = table_.domains_revision()};
}

std::vector<digest_entry> document::index() const {
    std::vector<digest_entry> all;
    all.reserve(table_.sections().size());
    for (auto const& [name, value] : table_.sections())
        all.push_back({.name = name, .held = value->held});
    return all;
}

std::uint64_t document::service_changes() const {
    return table_.service_changes();
}

std::uint64_t document::shared_changes() const {
    return table_.shared_changes();
}

internal::section_table::map_type const& document::sections() const {
    return table_.sections();
}

bool document::needs(std::string_view name) const {
    if (name.size() > max_section_name)
        return false;
    if (name == internal::domains_name)
        return true;
    if (options_.is_balancer)
        return name.starts_with("service/") ||
               name.starts_with(internal::hosts_prefix);
    return name == service_name_ || name == hosts_name_;
}

instant document::earliest_read(std::string_view name) const {
    // Not limited during a proof, which waits for every outdated section.
    auto const found = next_host_read_at_.find(name);
    bool const is_limited =
        proof_.is_proven && found != next_host_read_at_.end();
    return is_limited ? found->second : instant{};
}

bool document::may_read(std::string_view name) const {
    // The names of failure domains in the section of a service are resolved
    // when it is parsed, which requires `domains` to be in effect.
    return table_.domains_revision() != 0 || !name.starts_with("service/");
}

bool document::is_settled() const {
    return table_.domains_revision() != 0 &&
           reads_.is_settled(internal::domains_name) && reads_.all_attempted();
}

bool document::covers_needed_sections(peer_digest const& digest) const {
    auto const names = [&](std::string_view name) {
        return std::any_of(digest.entries.begin(), digest.entries.end(),
            [&](digest_entry const& it) {
                return it.name == name && it.held != 0;
            });
    };
    return names(internal::domains_name) && names(service_name_);
}

bool document::differs_from(peer_digest const& digest) const {
    return std::any_of(digest.entries.begin(), digest.entries.end(),
        [&](digest_entry const& it) {
            return needs(it.name) && it.held != table_.held(it.name);
        });
}

peer_digest document::make_digest(std::uint64_t nonce, bool is_reply) const {
    peer_digest digest{.origin = make_stamp(0),
        .nonce = nonce,
        .is_reply = is_reply,
        .is_proven = proof_.is_proven,
        .is_balancer = options_.is_balancer,
        .view_hash = table_.view_hash(),
        .entries = {}};
    add_entry(digest.entries, internal::domains_name);
    if (!is_reply)
        add_own_entries(digest.entries);
    return digest;
}

void document::add_own_entries(entry_list& to) const {
    if (!options_.is_balancer) {
        add_entry(to, service_name_);
        add_entry(to, hosts_name_);
    }
    for (auto const& it : table_.recent())
        add_entry(to, it->name);
}

void document::add_entry(entry_list& to, std::string_view name) const {
    bool const is_named = std::any_of(to.begin(), to.end(),
        [&](digest_entry const& it) { return it.name == name; });
    if (!is_named && to.size() < to.capacity())
        to.push_back({.name = name, .held = table_.held(name)});
}

duration document::backoff(unsigned failures) {
    return random_.backoff(
        failures, options_.retry_minimum, options_.retry_maximum);
}

} // namespace radishspread
