#ifndef RADISHSPREAD_CORE_RS_DOCUMENT_HPP
#define RADISHSPREAD_CORE_RS_DOCUMENT_HPP

#include <radishspread/core/rs_document_options.hpp>
#include <radishspread/core/rs_section_event.hpp>
#include <radishspread/core/rs_sinks.hpp>
#include <radishspread/core/rs_time.hpp>
#include <radishspread/core/rs_watch_event.hpp>

#include <random>

namespace radishspread {

/// The shared document as one process knows it: the sections in effect, when
/// to read which one from where, and whether the view is proven fresh.
///
/// Every public function that takes `now` first checks for a gap since the
/// last call; a gap above `document_options::pause_limit` means that the
/// process was paused, after which the view is unproven.
class document {
public:
    explicit document(document_options options);

    /// Begins the first watch and asks a peer for its digest.
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

    /// Learns from the stamp of an ordinary message of `service` that its
    /// sender is alive, and pulls sections of which it has newer revisions.
    template <document_sink Sink>
    void observe(
        instant now, service_id service, stamp const& seen, Sink& sink);

    /// Detects a pause: returns true, marks the view unproven and emits
    /// `discard_queued` if `now` is too long after the last event.
    template <document_sink Sink> bool check_pause(instant now, Sink& sink);

    /// Runs reads, retries, digests and proofs that are due.
    template <document_sink Sink> void tick(instant now, Sink& sink);

    /// Section in effect under `name`, or null.
    [[nodiscard]] section_ptr find(std::string_view name) const;
    /// Section of the service `id`, or null.
    [[nodiscard]] service_section const* service(service_id id) const;
    /// Revision in effect of `name`; 0 if none.
    [[nodiscard]] revision held(std::string_view name) const;
    /// True if `domains` is held and has the failure domain as out.
    [[nodiscard]] bool is_out(domain_id id) const;
    /// True if a host list has the host of this name as leaving.
    [[nodiscard]] bool is_leaving(std::string_view host) const;
    /// True if the view is proven fresh since start and the last pause.
    [[nodiscard]] bool is_proven() const;
    /// Stamp for a message that concerns `service`.
    [[nodiscard]] stamp make_stamp(service_id service) const;
    /// Names and revisions of all sections in effect.
    [[nodiscard]] std::vector<digest_entry> index() const;

private:
    document_options options_;
};

} // namespace radishspread

#endif
