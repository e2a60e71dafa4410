#include <radishspread/core/internal/rs_section_table.hpp>

#include <radishspread/core/rs_peer_digest.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace radishspread::internal {

namespace {

std::uint64_t entry_hash(section const& value) {
    return XXH3_64bits_withSeed(
        value.name.data(), value.name.size(), value.held);
}

bool content_matches(section const& value) {
    if (value.name == domains_name)
        return std::holds_alternative<domains_section>(value.content);
    if (value.name.starts_with("service/"))
        return std::holds_alternative<service_section>(value.content);
    if (value.name.starts_with("hosts/"))
        return std::holds_alternative<hosts_section>(value.content);
    return false;
}

bool has_valid_domains(section const& value) {
    auto const* content = std::get_if<domains_section>(&value.content);
    if (content == nullptr)
        return true;
    auto const& all = content->failure_domains;
    return all.size() <= max_domains &&
           std::all_of(all.begin(), all.end(), [](domain_entry const& entry) {
               return entry.id >= 1 && entry.id <= max_domains;
           });
}

} // namespace

section_table::section_table(std::size_t max_sections, std::size_t max_text)
    : max_sections_(max_sections), max_text_(max_text) {
    recent_.reserve(max_digest_entries + 1);
}

section_ptr section_table::find(std::string_view name) const {
    auto const it = sections_.find(name);
    return it == sections_.end() ? nullptr : it->second;
}

revision section_table::held(std::string_view name) const {
    auto const it = sections_.find(name);
    return it == sections_.end() ? 0 : it->second->held;
}

section const* section_table::service(service_id id) const {
    auto const it = services_.find(id);
    return it == services_.end() ? nullptr : it->second.get();
}

insert_result section_table::check_service(section const& offered) const {
    auto const* content = std::get_if<service_section>(&offered.content);
    if (content == nullptr)
        return insert_result::accepted;
    if (content->id == 0)
        return insert_result::wrong_content;
    auto const* owner = service(content->id);
    if (owner != nullptr && owner->name != offered.name)
        return insert_result::service_conflict;
    if (content->port == 0)
        return insert_result::accepted;
    auto const port = ports_.find(content->port);
    if (port == ports_.end())
        return insert_result::accepted;
    auto const* port_owner = service(port->second);
    if (port_owner != nullptr && port_owner->name != offered.name)
        return insert_result::service_conflict;
    return insert_result::accepted;
}

insert_result section_table::check(section const& offered) const {
    if (!content_matches(offered))
        return insert_result::wrong_content;
    auto const current = sections_.find(offered.name);
    bool const is_new = current == sections_.end();
    if (!is_new && offered.held <= current->second->held)
        return insert_result::not_newer;
    if (is_new && sections_.size() >= max_sections_)
        return insert_result::table_full;
    auto const replaced_bytes = is_new ? 0 : current->second->text.size();
    bool const fits =
        offered.text.size() <= max_section_text &&
        text_bytes_ - replaced_bytes + offered.text.size() <= max_text_;
    if (!fits || !has_valid_domains(offered))
        return insert_result::too_large;
    return check_service(offered);
}

insert_result section_table::insert(section_ptr const& value) {
    auto const result = check(*value);
    if (result != insert_result::accepted)
        return result;
    auto& slot = sections_[value->name];
    section_ptr const previous = std::exchange(slot, value);
    unblocks_services_ = value->name == domains_name;
    if (previous) {
        text_bytes_ -= previous->text.size();
        view_hash_ -= entry_hash(*previous);
    }
    text_bytes_ += value->text.size();
    view_hash_ += entry_hash(*value);
    note_recent(value);
    if (std::holds_alternative<service_section>(value->content)) {
        slot = resolve(value);
        apply_service(slot, previous.get());
        return result;
    }
    ++shared_changes_;
    if (value->name == domains_name)
        apply_domains(*value);
    else
        apply_hosts();
    return result;
}

void section_table::apply_service(
    section_ptr const& value, section const* previous) {
    auto const& content = std::get<service_section>(value->content);
    if (previous != nullptr) {
        auto const& old = std::get<service_section>(previous->content);
        unblocks_services_ = old.id != content.id || old.port != content.port;
        services_.erase(old.id);
        ports_.erase(old.port);
    }
    services_[content.id] = value;
    ports_[content.port] = content.id;
    ++service_changes_;
}

void section_table::apply_domains(section const& value) {
    out_domains_ = 0;
    domain_ids_.clear();
    for (auto const& it :
        std::get<domains_section>(value.content).failure_domains) {
        domain_ids_.emplace(it.name, it.id);
        if (it.is_out)
            out_domains_ |= std::uint64_t{1} << (it.id - 1U);
    }
    domains_revision_ = value.held;
    for (auto& [name, held] : sections_) {
        held = resolve(held);
        if (auto const* it = std::get_if<service_section>(&held->content))
            services_[it->id] = held;
    }
}

domain_id section_table::resolve(backend_entry const& entry) const {
    auto const found = domain_ids_.find(entry.domain_name);
    return found == domain_ids_.end() ? entry.domain : found->second;
}

section_ptr section_table::resolve(section_ptr const& value) const {
    auto const* content = std::get_if<service_section>(&value->content);
    if (content == nullptr)
        return value;
    auto const& all = content->backend_servers;
    bool const is_current = std::all_of(all.begin(), all.end(),
        [&](backend_entry const& it) { return resolve(it) == it.domain; });
    if (is_current)
        return value;
    auto changed = *value;
    for (auto& it : std::get<service_section>(changed.content).backend_servers)
        it.domain = resolve(it);
    return std::make_shared<section const>(std::move(changed));
}

void section_table::apply_hosts() {
    leaving_hosts_.clear();
    for (auto const& [name, value] : sections_)
        if (auto const* content = std::get_if<hosts_section>(&value->content))
            for (auto const& host : content->hosts)
                if (host.is_leaving)
                    leaving_hosts_.insert(host.name);
}

void section_table::note_recent(section_ptr const& value) {
    std::erase_if(recent_,
        [&](section_ptr const& it) { return it->name == value->name; });
    recent_.insert(recent_.begin(), value);
    if (recent_.size() > max_digest_entries)
        recent_.pop_back();
}

} // namespace radishspread::internal
