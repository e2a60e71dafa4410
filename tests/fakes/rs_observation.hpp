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

/// Number that a caller gives a request and carries in its payload.
using identity = std::uint64_t;

/// What callers, backend servers, the wire and the operators saw.
enum class observation_kind : std::uint8_t {
    request_started,  ///< `id`, `flow`, `service`, `flag`: idempotent;
                      ///< `value` 1: the last check that the flow works.
    request_ended,    ///< `id`, `flow`, `result`; `flag`: whole own answer.
    not_run_replied,  ///< `id`: a reply to the caller said "not run".
    run_started,      ///< `id`, `service`, `backend`, `domain` at the server.
    run_ended,        ///< `id`, `backend`.
    run_cut,          ///< `id`, `backend`: its stopping agent left it behind.
    over_capacity,    ///< `backend`, `value`: runs above what it can handle.
    flow_established, ///< `flow`, `process`: agent named by the cookie.
    flow_lost,        ///< `flow`, `value`: reason; `flag`: was established.
    flow_closed,      ///< `flow`: the caller closed it.
    new_flow_at,      ///< `process`, `backend`: an agent replied `opened`.
    packet_into,      ///< `domain`, `process`: a caller's packet forwarded.
    stamp_sent,       ///< `process`, `incarnation`, `value`: domains revision.
    // Facts about the injected changes and faults.
    domain_out,       ///< `domain`.
    domain_in,        ///< `domain`.
    leaving,          ///< `backend`: drained, or its host leaves.
    edited,           ///< `value`: revision of `domains`.
    killed,           ///< `process`.
    stopped,          ///< `process`: a planned stop began.
    finished,         ///< `process`: the planned stop ended.
    unreachable,      ///< `process`: cut off; `value` 1: paused.
    reachable,        ///< `process`.
    service_impaired, ///< The configuration service is down or stale.
    service_healthy,
    backend_fault, ///< `backend`: crashed, shedding or silent; `value` 1:
                   ///< cold without notice; 2: the same while starting.
    packet_fault,  ///< Packets are lost, duplicated, late or reordered.
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
