#include <standins/rs_run_history.hpp>

#include <algorithm>

namespace radishspread::standins {

void run_history::record(run_record const& run, request_text const& request,
    service_id server_service) {
    runs_.push_back(run);
    auto const n = ++counts_[run.identity];
    if (n == 2 && !request.idempotent)
        ++run_twice_;
    if (request.service != server_service)
        ++wrong_service_;
}

std::size_t run_history::runs_of(std::uint64_t identity) const {
    auto const it = counts_.find(identity);
    return it == counts_.end() ? 0 : it->second;
}

std::size_t run_history::runs_at(backend_id backend, instant from) const {
    return static_cast<std::size_t>(
        std::count_if(runs_.begin(), runs_.end(), [&](auto const& run) {
            return run.backend == backend && run.started_at >= from;
        }));
}

instant run_history::last_run_in(domain_id domain, instant until) const {
    instant last{};
    for (auto const& run : runs_) {
        if (run.domain == domain && run.started_at < until)
            last = std::max(last, run.started_at);
    }
    return last;
}

} // namespace radishspread::standins
