#ifndef RADISHSPREAD_RUNTIME_RS_DOCUMENT_LISTENER_HPP
#define RADISHSPREAD_RUNTIME_RS_DOCUMENT_LISTENER_HPP

#include <radishspread/core/rs_section_event.hpp>
#include <radishspread/core/rs_watch_event.hpp>

namespace radishspread::runtime {

/// Receives the results of reads and watches and passes them to the core.
class document_listener {
public:
    virtual ~document_listener() = default;

    virtual void handle(section_event const& event) = 0;
    virtual void handle(section_refused_event const& event) = 0;
    virtual void handle(read_failed_event const& event) = 0;
    virtual void handle(watch_event const& event) = 0;
    virtual void handle(watch_failed_event const& event) = 0;

    /// Content of the section `domains` that is in effect, or null.
    [[nodiscard]] virtual domains_section const* domains() const = 0;
};

} // namespace radishspread::runtime

#endif
