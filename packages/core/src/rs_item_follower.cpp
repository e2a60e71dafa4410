#include <radishspread/core/rs_item_follower.hpp>

#include <algorithm>
#include <utility>

namespace radishspread {

item_follower::item_follower(item_follower_options options)
    : options_(std::move(options)), random_(options_.seed) {
    if (options_.is_on_demand)
        due_ = instant::max();
}

std::optional<item_call> item_follower::take_call(instant now) {
    if (is_outstanding_ || now < due_)
        return std::nullopt;
    if (!pace_.try_take(now)) {
        due_ = pace_.next_at();
        return std::nullopt;
    }
    is_outstanding_ = true;
    call_started_at_ = now;
    // While the service does not reply, every other call goes to a peer, which
    // may have received newer items in the meantime.
    peer_ = service_is_next_ ? endpoint{} : std::exchange(newer_peer_, {});
    if (!peer_.is_set() && failures_ % 2 == 1 && !options_.peers.empty())
        peer_ = options_.peers[random_.below(options_.peers.size())];
    if (peer_.is_set())
        return item_call{.prefix = options_.prefix,
            .timeout = options_.peer_timeout,
            .peer = peer_};
    if (is_watching_) {
        auto const wait = confirms_peer_ ? confirmation_wait : options_.wait;
        return item_call{.is_watch = true,
            .prefix = options_.prefix,
            .after = after_,
            .wait = wait,
            .timeout = wait + options_.watch_grace};
    }
    if (after_name_.empty())
        read_started_ = now;
    return item_call{.prefix = options_.prefix,
        .after_name = after_name_,
        .timeout = options_.read_timeout};
}

bool item_follower::handle_page(
    instant now, item_page const& page, fleet_view& view) {
    is_outstanding_ = false;
    service_is_next_ = false;
    if (peer_.is_set())
        return handle_peer(now, page, view);
    last_reply_at_ = now;
    failures_ = 0;
    view.set_reachable(now, true);
    if (is_of_other_era(now, page, view))
        return false;
    if (!is_watching_)
        return handle_read(now, page, view);
    handle_watch(now, page, view);
    return true;
}

// In another era, a watch may leave out changes, and the pages read before say
// nothing. The first page of a read is complete in its own era.
bool item_follower::is_of_other_era(
    instant now, item_page const& page, fleet_view& view) {
    using internal::era_finding;
    auto const found = view.observe_era(now, call_started_at_, page.era);
    bool const is_first_page = !is_watching_ && after_name_.empty();
    if (found == era_finding::outdated) {
        is_watching_ = false;
        begin_read(now);
        due_ = now + pace_.delay_after_useless_reply();
        return true;
    }
    if (std::exchange(era_, page.era) == page.era || is_first_page)
        return false;
    read_in_new_era(now);
    return true;
}

bool item_follower::follow_era(instant now, fleet_view const& view) {
    bool const is_first_page = !is_watching_ && after_name_.empty();
    if (view.era().value() == era_ || is_first_page ||
        (is_outstanding_ && peer_.is_set()))
        return false;
    bool const cancels = std::exchange(is_outstanding_, false);
    read_in_new_era(now);
    return cancels;
}

void item_follower::read_in_new_era(instant now) {
    is_watching_ = false;
    begin_read(now);
    due_ = now + random_.up_to(era_read_spread_);
}

// A watch that was cut and one whose events are known end early too, so a
// single such reply delays nothing.
void item_follower::handle_watch(
    instant now, item_page const& page, fleet_view& view) {
    for (auto const& it : page.changes)
        view.apply(now, it);
    view.settle(call_started_at_, options_.prefix);
    bool const is_confirmation = std::exchange(confirms_peer_, false);
    bool const is_news = !page.changes.empty() && page.as_of > after_;
    bool const is_quiet =
        page.changes.empty() && now - call_started_at_ >= options_.wait / 2;
    after_ = std::max(after_, page.as_of);
    auto const delay =
        page.changes.empty() ? duration{0} : options_.collect_interval;
    if (is_news || is_quiet || is_confirmation) {
        pace_.reply_was_useful();
        due_ = now + delay;
    } else {
        due_ = now + std::max(delay, pace_.delay_after_useless_reply());
    }
}

// A peer with an outdated view cannot revert items, because only higher
// revisions are applied. What it returns is not known to come from the service,
// so it is provisional, and the watch goes on from the service's own revision.
// The next call goes to the service again.
bool item_follower::handle_peer(
    instant now, item_page const& page, fleet_view& view) {
    view.apply_peer(now, options_.prefix, page.changes, page.version());
    is_complete_ = is_complete_ || page.as_of > 0;
    confirms_peer_ = true;
    // The service is called next: at once, or with backoff if it has failed.
    due_ = now;
    if (failures_ == 0)
        return is_complete_;
    ++failures_;
    due_ = now + random_.backoff(failures_, options_.backoff_minimum,
                     options_.backoff_maximum);
    return is_complete_;
}

// The pages of a read are not a consistent snapshot. Changes during the read
// are seen by the watch, which begins at the revision of the first page.
bool item_follower::handle_read(
    instant now, item_page const& page, fleet_view& view) {
    if (after_name_.empty()) {
        read_from_ = page.as_of;
        pages_ = 0;
    }
    for (auto const& it : page.changes) {
        view.apply(now, it);
        names_.insert(it.name);
    }
    due_ = now;
    if (page.has_more) {
        bool const goes_on =
            !page.changes.empty() && page.changes.back().name > after_name_ &&
            ++pages_ < max_pages && names_.size() < fleet_view::max_items;
        if (!goes_on)
            return give_up_read(now);
        after_name_ = page.changes.back().name;
        return false;
    }
    view.settle(read_started_, options_.prefix);
    confirms_peer_ = false;
    view.finish_read(
        now, options_.prefix, names_, {.era = era_, .revision = read_from_});
    is_complete_ = true;
    bool const reads_again = std::exchange(is_read_requested_, false);
    is_watching_ = !reads_again && !options_.is_on_demand;
    after_ = read_from_;
    complete_read_started_at_ = read_started_;
    begin_read(now);
    if (options_.is_on_demand && !reads_again)
        due_ = instant::max();
    return true;
}

// The items of an incomplete read say nothing about the others.
bool item_follower::give_up_read(instant now) {
    ++given_up_reads_;
    begin_read(now);
    due_ = now + pace_.delay_after_useless_reply();
    return false;
}

void item_follower::begin_read(instant now) {
    names_.clear();
    after_name_.clear();
    due_ = now;
}

void item_follower::handle_history_lost(instant now) {
    is_outstanding_ = false;
    service_is_next_ = false;
    last_reply_at_ = now;
    is_watching_ = false;
    begin_read(now);
    due_ = now + pace_.delay_after_useless_reply();
}

void item_follower::handle_failure(
    instant now, bool is_outage, fleet_view& view) {
    is_outstanding_ = false;
    service_is_next_ = peer_.is_set();
    if (is_outage && !peer_.is_set())
        view.set_reachable(now, false);
    due_ = now;
    if (peer_.is_set() && failures_ == 0)
        return; // The service has not failed; it is called next.
    if (failures_++ == 0)
        failing_since_ = now;
    if (!is_watching_ && !peer_.is_set())
        begin_read(now);
    if (peer_.is_set() && is_first_read_urgent(now))
        due_ = now; // The service is called next.
    else
        due_ = now + retry_delay(now, is_outage);
}

bool item_follower::is_first_read_urgent(instant now) const {
    return !is_complete_ &&
           now - failing_since_ <
               options_.backoff_maximum * options_.first_read_backoff_divisor;
}

// After a power loss during an outage no process has a view, and one that knows
// no backend servers serves nobody. The longer an outage has lasted, the longer
// it is likely to last, so a share of it bounds both the calls and the time
// until a return is noticed. Calls that the service rejects for their rate must
// become fewer instead.
duration item_follower::retry_delay(instant now, bool is_outage) {
    auto maximum = options_.backoff_maximum;
    if (is_first_read_urgent(now) && is_outage)
        maximum = std::max<duration>(options_.backoff_minimum,
            (now - failing_since_) / options_.first_read_backoff_divisor);
    return options_.backoff_minimum / 4 +
           random_.backoff(failures_, options_.backoff_minimum, maximum);
}

// If each look dropped the call to the service, one that replies slowly would
// never be heard while peers are silent.
bool item_follower::catch_up(instant now, endpoint peer) {
    if (is_outstanding_ && peer_.is_set())
        return false;
    newer_peer_ = peer;
    if (service_is_next_)
        return false;
    is_outstanding_ = false;
    if (!is_watching_)
        begin_read(now);
    due_ = now;
    return true;
}

bool item_follower::reread(instant now) {
    bool const is_reading_peer = is_outstanding_ && peer_.is_set();
    bool const is_reading =
        !is_watching_ &&
        ((is_outstanding_ && !is_reading_peer) || !after_name_.empty());
    if (is_reading) {
        is_read_requested_ = true;
        return false;
    }
    is_watching_ = false;
    if (is_reading_peer)
        return false; // The read starts after the peer's reply.
    bool const cancels_watch = std::exchange(is_outstanding_, false);
    if (cancels_watch)
        begin_read(now);
    else if (failures_ == 0)
        due_ = now;
    return cancels_watch;
}

bool item_follower::restart(instant now) {
    if (last_restart_at_ != instant{} &&
        now - last_restart_at_ < restart_interval)
        return false;
    last_restart_at_ = now;
    is_outstanding_ = false;
    is_watching_ = false;
    is_complete_ = false;
    begin_read(now);
    return true;
}

} // namespace radishspread
