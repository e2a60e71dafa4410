#ifndef RADISHSPREAD_TESTS_STANDINS_RS_RUN_HISTORY_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_RUN_HISTORY_HPP

#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_time.hpp>

#include <standins/rs_request_text.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace radishspread::standins {

/// One execution of a request by a backend server.
struct run_record {
    std::uint64_t identity = 0;
    backend_id backend = 0;
    domain_id domain = 0;
    instant started_at{};
};

/// Runs of all backend servers, recorded by the servers themselves.
class run_history {
public:
    void record(run_record const& run, request_text const& request,
        service_id server_service);
    void record_overload() { ++overloads_; }

    [[nodiscard]] std::size_t runs_of(std::uint64_t identity) const;
    /// Number of non-idempotent requests that were run more than once.
    [[nodiscard]] std::size_t run_twice() const { return run_twice_; }
    /// Number of runs at a backend server of another service than requested.
    [[nodiscard]] std::size_t wrong_service() const { return wrong_service_; }
    /// Number of requests above the capacity of a backend server, cold or warm.
    [[nodiscard]] std::size_t overloads() const { return overloads_; }
    [[nodiscard]] std::vector<run_record> const& runs() const { return runs_; }
    /// Number of runs at the backend server that started at `from` or later.
    [[nodiscard]] std::size_t runs_at(backend_id backend, instant from) const;
    /// Start time of the last run in the failure domain before `until`; the
    /// epoch if there is none.
    [[nodiscard]] instant last_run_in(domain_id domain, instant until) const;

private:
    std::vector<run_record> runs_;
    std::unordered_map<std::uint64_t, std::size_t> counts_;
    std::size_t run_twice_ = 0;
    std::size_t wrong_service_ = 0;
    std::size_t overloads_ = 0;
};

} // namespace radishspread::standins

#endif
