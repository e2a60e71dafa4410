#include <radishspread/runtime/rs_peer_client.hpp>

namespace radishspread::runtime {

peer_client::peer_client(peer_client_options options) : options_(options) {}

void peer_client::get(instant now, endpoint peer, std::string const& path,
    response_callback callback) {
    auto found = connections_.find(peer);
    if (found != connections_.end() && found->second->is_closed()) {
        retired_.push_back(std::move(found->second));
        connections_.erase(found);
        found = connections_.end();
    }
    bool const is_known = found != connections_.end();
    bool const is_full =
        is_known ? found->second->outstanding() >= options_.max_requests
                 : connections_.size() >= options_.max_connections;
    if (is_full) {
        rejected_.push_back(std::move(callback));
        return;
    }
    auto& it = connections_[peer];
    if (it == nullptr)
        it = std::make_unique<peer_connection>(peer, options_.watchdog, now);
    it->get(now, path, std::move(callback));
}

void peer_client::tick(instant now) {
    for (auto& [peer, it] : connections_)
        if (!it->is_closed())
            it->tick(now);
}

void peer_client::flush() {
    retired_.clear();
    std::vector<peer_connection*> open;
    for (auto& [peer, it] : connections_)
        open.push_back(it.get());
    // A callback may start requests, which changes the map, but connections
    // that it moves to `retired_` remain valid until the next flush.
    for (auto* it : open)
        it->flush();
    std::erase_if(
        connections_, [](auto const& it) { return it.second->is_closed(); });
    // Requests above the limits fail here because `get` runs no callbacks.
    section_response failed;
    failed.code = std::make_error_code(std::errc::no_buffer_space);
    auto const batch = std::exchange(rejected_, {});
    for (auto const& callback : batch)
        callback(failed);
}

void peer_client::reset() {
    rejected_.clear();
    for (auto& [peer, it] : connections_) {
        it->abandon();
        retired_.push_back(std::move(it));
    }
    connections_.clear();
}

} // namespace radishspread::runtime
