#ifndef RADISHSPREAD_CORE_RS_DOCUMENT_HPP
#define RADISHSPREAD_CORE_RS_DOCUMENT_HPP

#include <radishspread/core/internal/rs_jitter.hpp>
#include <radishspread/core/internal/rs_log_limiter.hpp>
#include <radishspread/core/internal/rs_peer_table.hpp>
#include <radishspread/core/internal/rs_read_schedule.hpp>
#include <radishspread/core/internal/rs_section_table.hpp>
#include <radishspread/core/internal/rs_view_proof.hpp>
#include <radishspread/core/internal/rs_watch_state.hpp>
#include <radishspread/core/rs_document_events.hpp>
#include <radishspread/core/rs_document_options.hpp>
#include <radishspread/core/rs_section_event.hpp>
#include <radishspread/core/rs_sinks.hpp>
#include <radishspread/core/rs_time.hpp>
#include <radishspread/core/rs_watch_event.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace radishspread {

/// Maximum time for which the configuration service delays its reply to a
/// watch.
inline constexpr duration watch_wait = std::chrono::seconds(25);

/// This process's copy of the published configuration: the sections in effect,
/// the schedule and sources of reads, and whether the view is proven fresh.
///
/// Handling an event checks the time since the last event. If it exceeds
/// `document_options::pause_limit`, the process was paused, and its view is
/// unproven until the next proof. A sink must not call back into the document.
class document {
public:
    explicit document(document_options options);

    /// Sends the first watch, and digests to peers, which reply with theirs.
    template <document_sink Sink> void start(instant now, Sink& sink);

    template <document_sink Sink>
    void handle(instant now, section_event const& event, Sink& sink);
    template <document_sink Sink>
    void handle(instant now, section_refused_event const& event, Sink& sink);
    template <document_sink Sink>
    void handle(instant now, read_failed_event const& event, Sink& sink);
    template <document_sink Sink>
    void handle(instant now, watch_event const& event, Sink& sink);
    template <document_sink Sink>
    void handle(instant now, watch_failed_event const& event, Sink& sink);
    template <document_sink Sink>
    void handle(instant now, peer_digest const& digest, Sink& sink);

    /// Evaluates the stamp of a message that concerns `service`: records that
    /// its sender is reachable and pulls sections of which it has newer
    /// revisions.
    template <document_sink Sink>
    void observe(
        instant now, service_id service, stamp const& seen, Sink& sink);

    /// Pulls revision `newer` of a section from a peer that is known to hold
    /// it.
    template <document_sink Sink>
    void pull(instant now, std::string_view name, revision newer, endpoint peer,
        Sink& sink);

    /// If the time since the last event exceeds the pause limit, marks the view
    /// unproven, calls `discard_queued` of the sink and returns true.
    template <document_sink Sink> bool check_pause(instant now, Sink& sink);

    /// Runs the reads, retries, watches, digests and proofs that are due.
    template <document_sink Sink> void tick(instant now, Sink& sink);

    /// Section in effect under `name`, or null.
    [[nodiscard]] section_ptr find(std::string_view name) const;
    /// Section of the service `id`, or null.
    [[nodiscard]] service_section const* service(service_id id) const;
    /// Revision in effect of `name`; 0 if none.
    [[nodiscard]] revision held(std::string_view name) const;
    /// True if a revision of `domains` is in effect.
    [[nodiscard]] bool has_domains() const {
        return table_.domains_revision() != 0;
    }
    /// True if the section `domains` in effect marks the failure domain as out.
    [[nodiscard]] bool is_out(domain_id id) const;
    /// True if a host list marks the host of this name as leaving.
    [[nodiscard]] bool is_leaving(std::string_view host) const;
    /// True if the view was proven fresh after start and after the last pause.
    [[nodiscard]] bool is_proven() const;
    /// True while a proof is in progress: the view is unproven and
    /// `proof_timeout` has not passed.
    [[nodiscard]] bool is_proving(instant now) const;
    /// Stamp for a message that concerns `service`.
    [[nodiscard]] stamp make_stamp(service_id service) const;
    /// Names and revisions of all sections in effect.
    [[nodiscard]] std::vector<digest_entry> index() const;

    /// Numbers of accepted sections: those of services, and all others. Users
    /// rebuild tables derived from the sections when a number has changed.
    [[nodiscard]] std::uint64_t service_changes() const;
    [[nodiscard]] std::uint64_t shared_changes() const;
    /// All sections in effect, by name.
    [[nodiscard]] internal::section_table::map_type const& sections() const;

private:
    using entry_list = decltype(peer_digest::entries);

    template <document_sink Sink> void begin_proof(instant now, Sink& sink);
    template <document_sink Sink> void check_proof(instant now, Sink& sink);
    template <document_sink Sink>
    void send_watch(instant now, std::uint64_t after, Sink& sink);
    template <document_sink Sink> void run_watch(instant now, Sink& sink);
    template <document_sink Sink> void run_reads(instant now, Sink& sink);
    template <document_sink Sink> void run_digests(instant now, Sink& sink);
    template <document_sink Sink>
    void query_peer(endpoint peer, std::uint64_t nonce, Sink& sink);
    template <document_sink Sink>
    void reply_to_peer(peer_digest const& request, Sink& sink);
    /// Schedules reads of sections that are newer at the peer. A balancer also
    /// pulls the index of another balancer if the view hashes differ although
    /// no entry of the digest does.
    template <document_sink Sink>
    void compare_digest(instant now, peer_digest const& digest, Sink& sink);
    /// Evaluates a peer's reply to a digest that was sent for the current
    /// proof.
    template <document_sink Sink>
    void handle_proof_reply(instant now, peer_digest const& digest, Sink& sink);
    template <document_sink Sink>
    void pull_index(
        instant now, endpoint peer, bool is_peer_proven, Sink& sink);
    template <document_sink Sink>
    void schedule_read(instant now, digest_entry const& seen, endpoint peer,
        duration delay, Sink& sink);
    template <document_sink Sink>
    void accept(instant now, section_ptr const& value, Sink& sink);
    template <document_sink Sink>
    void reject(instant now, section_event const& event,
        internal::insert_result result, Sink& sink);
    /// Counts a failed read and postpones its next attempt.
    template <document_sink Sink>
    void retry_read(
        instant now, std::string_view name, endpoint peer, Sink& sink);
    template <document_sink Sink>
    void handle_watch_reply(instant now, watch_event const& event, Sink& sink);
    template <document_sink Sink>
    void report(Sink& sink, std::uint16_t number, std::string_view name,
        std::uint64_t value, endpoint peer = {}) const;

    /// True if this process uses the section `name`.
    [[nodiscard]] bool needs(std::string_view name) const;
    [[nodiscard]] bool may_read(std::string_view name) const;
    [[nodiscard]] instant earliest_read(std::string_view name) const;
    /// True if `domains` is up to date and every other pending read has failed
    /// at least once.
    [[nodiscard]] bool is_settled() const;
    /// Agent: true if the digest has `domains` and the section of its service.
    [[nodiscard]] bool covers_needed_sections(peer_digest const& digest) const;
    /// True if an entry of the digest has a revision other than the one in
    /// effect here, of a section that this process uses.
    [[nodiscard]] bool differs_from(peer_digest const& digest) const;
    [[nodiscard]] peer_digest make_digest(
        std::uint64_t nonce, bool is_reply) const;
    void add_entry(entry_list& to, std::string_view name) const;
    void add_own_entries(entry_list& to) const;
    [[nodiscard]] duration backoff(unsigned failures);

    document_options options_;
    std::string service_name_; ///< Agent: name of its service's section.
    std::string hosts_name_;   ///< Agent: name of its host list.
    internal::jitter random_;
    internal::section_table table_;
    internal::read_schedule reads_;
    internal::peer_table peers_;
    internal::watch_state watch_;
    internal::view_proof proof_;
    internal::log_limiter read_log_;
    internal::log_limiter older_log_;
    internal::log_limiter full_log_;
    bool is_started_ = false;
    instant last_event_at_;
    instant next_digest_at_;
    /// Balancer: earliest time of the next read, by host list.
    std::map<std::string, instant, std::less<>> next_host_read_at_;
    instant next_index_at_; ///< Earliest time of the next index pull.
};

} // namespace radishspread

#include <radishspread/core/internal/rs_document_impl.hpp>
#include <radishspread/core/internal/rs_document_peers_impl.hpp>

#endif
