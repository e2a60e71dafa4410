#include <matrix/rs_mutations.hpp>

#include <fakes/rs_payload.hpp>

#include <array>

namespace radishspread::matrix {

using fakes::action_filter;

namespace {

/// Requests of established flows are routed by their number instead of the
/// cookie. The first service has the backend servers 1 to 7, the second 8
/// to 10.
struct routes_by_hash : action_filter {
    void balancer_forwards(endpoint& to, forward& it) override {
        bool const is_first = it.packet.service == 1;
        backend_id const first = is_first ? 1 : 8;
        backend_id const n = is_first ? 7 : 3;
        if (it.packet.kind == packet_kind::request)
            to = fakes::agent_endpoint(
                first + static_cast<backend_id>(it.packet.request % n));
    }
};

/// Every third request of the first service is dispatched to a backend server
/// of the second.
struct dispatches_to_other_service : action_filter {
    backend_id dispatch_target(backend_id own) override {
        return own <= 7 && ++count % 3 == 0 ? 8 : own;
    }
    int count = 0;
};

/// Agents assume 16 times the slots that the document states.
struct inflates_slots : action_filter {
    section_ptr process_receives(section_ptr it) override {
        auto const* const known = std::get_if<service_section>(&it->content);
        if (known == nullptr)
            return it;
        auto changed = *it;
        auto& content = std::get<service_section>(changed.content);
        for (auto& entry : content.backend_servers)
            entry.slots *= 16;
        return std::make_shared<section const>(std::move(changed));
    }
};

/// No process learns that a failure domain is out.
struct ignores_domains_out : action_filter {
    section_ptr process_receives(section_ptr it) override {
        if (!std::holds_alternative<domains_section>(it->content))
            return it;
        auto changed = *it;
        auto& content = std::get<domains_section>(changed.content);
        for (auto& entry : content.failure_domains)
            entry.is_out = false;
        return std::make_shared<section const>(std::move(changed));
    }
};

/// Replies with a response carry the number of the previous request of the
/// flow.
struct misnumbers_replies : action_filter {
    void agent_replies(caller_reply& it) override {
        if (it.kind == reply_kind::answer && it.request > 1)
            --it.request;
    }
};

/// A request with an unknown outcome, such as one whose connection to the
/// backend server was lost, is reported as "not run".
struct claims_not_run : action_filter {
    void agent_replies(caller_reply& it) override {
        if (it.outcome == outcome::unknown)
            it.outcome = outcome::not_run;
    }
};

/// Every request is treated as idempotent, so lost ones are retried.
struct retries_everything : action_filter {
    void agent_receives(forward& it) override { it.packet.idempotent = true; }
};

/// No process learns that a backend server is draining or its host is leaving.
struct ignores_leaving : action_filter {
    section_ptr process_receives(section_ptr it) override {
        auto changed = *it;
        if (auto* const known = std::get_if<service_section>(&changed.content))
            for (auto& entry : known->backend_servers)
                entry.is_draining = false;
        if (auto* const known = std::get_if<hosts_section>(&changed.content))
            known->hosts.clear();
        return std::make_shared<section const>(std::move(changed));
    }
};

/// A planned stop ends the process at once.
struct skips_shutdown : action_filter {
    bool skips_graceful_stop() override { return true; }
};

/// Later revisions of a section are ignored. The first publication of the six
/// sections has the revisions 1 to 6.
struct keeps_first_revision : action_filter {
    section_ptr process_receives(section_ptr it) override {
        bool const is_first = it->held <= 6;
        return is_first ? it : nullptr;
    }
};

template <class Mutation> std::unique_ptr<action_filter> make() {
    return std::make_unique<Mutation>();
}

constexpr std::array<mutation, 10> mutations{{
    {1, "established packets routed by hash", make<routes_by_hash>},
    {2, "dispatch to another service", make<dispatches_to_other_service>},
    {3, "slots believed sixteenfold", make<inflates_slots>},
    {4, "failure domains out ignored", make<ignores_domains_out>},
    {5, "answers crossed", make<misnumbers_replies>},
    {6, "unknown reported as not run", make<claims_not_run>},
    {7, "non-idempotent requests retried", make<retries_everything>},
    {8, "leaving backend servers ignored", make<ignores_leaving>},
    {9, "planned stop without shutdown", make<skips_shutdown>},
    {10, "edits not taken", make<keeps_first_revision>},
}};

} // namespace

std::span<mutation const> all_mutations() {
    return mutations;
}

} // namespace radishspread::matrix
