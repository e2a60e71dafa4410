#ifndef RADISHSPREAD_RUNTIME_RS_VIEW_SOURCES_HPP
#define RADISHSPREAD_RUNTIME_RS_VIEW_SOURCES_HPP

#include <radishspread/runtime/rs_item_source.hpp>
#include <radishspread/runtime/rs_packet_shell.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace radishspread::runtime {

/// Follows all items that a role needs, one follower for each prefix.
template <packet_platform Platform> class view_sources {
public:
    view_sources(packet_shell& shell, fleet_view& view,
        std::vector<std::string> const& prefixes,
        item_follower_options const& options,
        std::function<void(item_page const&)> changed)
        : shell_(shell),
          service_({.service = shell.settings().configuration_service}) {
        for (auto const& prefix : prefixes) {
            auto own = options;
            own.prefix = prefix;
            own.seed += sources_.size();
            sources_.push_back(std::make_unique<source>(own, view,
                std::vector<configuration_client*>{&service_}, changed,
                [this](packet_log const& it) { shell_.log(it); }));
            sources_.back()->clock = [this] {
                return shell_.enter();
            };
        }
    }

    /// Starts calls that are due and ends those past their limit.
    void tick(instant now) {
        service_.tick(now);
        run(now);
    }

    /// Starts calls that are due.
    void run(instant now) {
        for (auto const& it : sources_)
            it->run(now);
    }

    void restart(instant now) {
        for (auto const& it : sources_)
            it->restart(now);
    }

    [[nodiscard]] bool is_complete() const {
        return std::all_of(sources_.begin(), sources_.end(),
            [](auto const& it) { return it->is_complete(); });
    }

    /// Time of the next call; `instant::max()` if all are outstanding.
    [[nodiscard]] instant due() const {
        auto due = instant::max();
        for (auto const& it : sources_)
            if (!it->is_outstanding())
                due = std::min(due, it->due());
        return due;
    }

private:
    using source = item_source<Platform>;

    packet_shell& shell_;
    configuration_client service_;
    std::vector<std::unique_ptr<source>> sources_;
};

} // namespace radishspread::runtime

#endif
