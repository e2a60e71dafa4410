#ifndef RADISHSPREAD_TESTS_FAKES_RS_OBSERVATION_HPP
#define RADISHSPREAD_TESTS_FAKES_RS_OBSERVATION_HPP

#include <radishspread/caller/rs_finished_request.hpp>
#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace radishspread::fakes {

/// Identifies one attempt of a request; chosen by the caller and carried in the
/// payload.
using identity = std::uint64_t;

/// What was observed at callers and backend servers, in datagrams, and of the
/// operators' changes, with the fields that are set.
enum class observation_kind : std::uint8_t {
    request_started,  ///< `id`, `flow`, `service`, `flag`: idempotent;
                      ///< `value` 1: the final check that the flow works.
    request_ended,    ///< `id`, `flow`, `result`; `flag`: false if an
                      ///< answer was not complete or not its own.
    not_run_replied,  ///< `id`: a reply to the caller reported "not run".
    run_started,      ///< `id`, `service`, `backend`, `domain` at the server.
    run_ended,        ///< `id`, `backend`.
    run_cut,          ///< `id`, `backend`: aborted by the agent's stop.
    over_capacity,    ///< `backend`, `value`: runs, more than its capacity.
    flow_established, ///< `flow`, `process`: the agent in the route cookie.
    flow_lost,        ///< `flow`, `value`: reason; `flag`: was established,
                      ///< with `process`: the agent.
    flow_closed,      ///< `flow`: the caller closed it.
    new_flow_at,      ///< `process`, `backend`: an agent replied `opened`.
    packet_into,      ///< `domain`, `process`: a caller's packet was
                      ///< forwarded into a failure domain that is out.
    stamp_sent,       ///< `process`, `incarnation`, `value`: domains revision.
    // Injected changes and faults.
    domain_out,       ///< `domain`.
    domain_in,        ///< `domain`.
    leaving,          ///< `backend`: draining, or its host is leaving.
    edited,           ///< `value`: revision of `domains`.
    killed,           ///< `process`.
    stopped,          ///< `process`: a planned stop began.
    finished,         ///< `process`: the planned stop ended.
    unreachable,      ///< `process`: partitioned; `value` 1: paused.
    reachable,        ///< `process`.
    service_impaired, ///< The configuration service fails in some way.
    service_healthy,
    backend_fault, ///< `backend`: crashed, shedding or unresponsive; `value` 1:
                   ///< became cold without notice to its agent; 2: the same
                   ///< when it was still cold from its start.
    packet_fault,  ///< Packets are lost, duplicated, delayed or reordered.
};

/// One observation; unused fields keep their defaults.
struct observation {
    instant at;
    observation_kind what = observation_kind::request_started;
    identity id = 0;
    std::uint32_t flow = 0;
    service_id service = 0;
    backend_id backend = 0;
    domain_id domain = 0;
    endpoint process;
    incarnation_id incarnation = 0;
    std::int64_t value = 0;
    bool flag = false;
    request_result result = request_result::unknown;
};

using observations = std::vector<observation>;

/// One line of text: time in ms, kind and the fields that are set.
[[nodiscard]] std::string to_string(observation const& it);

} // namespace radishspread::fakes

#endif
