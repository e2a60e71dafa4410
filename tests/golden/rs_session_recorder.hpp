#ifndef RADISHSPREAD_TESTS_GOLDEN_RS_SESSION_RECORDER_HPP
#define RADISHSPREAD_TESTS_GOLDEN_RS_SESSION_RECORDER_HPP

#include <fakes/rs_simulation.hpp>
#include <fakes/rs_simulation_observer.hpp>

#include <string>

namespace radishspread::golden {

/// Records a session as text, one line for each event: virtual time in ms, the
/// process, and its action. Records nothing before `begin()`.
class session_recorder final : public fakes::simulation_observer {
public:
    /// `owner` must outlive this object's last call.
    explicit session_recorder(fakes::simulation& owner) : simulation_(owner) {}

    /// Starts recording; earlier observations are omitted.
    void begin();
    /// The recorded lines, including all observations up to now.
    [[nodiscard]] std::string text();

    void logged(endpoint at, log_event const& event) override;
    void received(
        endpoint at, endpoint caller, caller_packet const& it) override;
    void replied(endpoint at, endpoint caller, caller_reply const& it) override;
    void sent(endpoint at, endpoint to, forward const& it) override;
    void sent(endpoint at, endpoint to, deliver const& it) override;
    void sent(endpoint at, endpoint to, handover const& it) override;
    void sent(endpoint at, endpoint to, handover_reply const& it) override;
    void dispatched(endpoint at, backend_request const& it) override;
    void reads_section(
        endpoint at, endpoint from, std::string_view section) override;

private:
    void add(endpoint at, std::string const& what);
    void add_sent(endpoint at, endpoint to, std::string const& what);
    void add_observations();

    fakes::simulation& simulation_;
    std::string text_;
    std::size_t next_observation_ = 0; ///< Index in the log of the simulation.
    bool is_recording_ = false;
};

} // namespace radishspread::golden

#endif
