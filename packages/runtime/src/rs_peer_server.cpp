#include <radishspread/runtime/internal/rs_peer_server_connection.hpp>
#include <radishspread/runtime/rs_clock.hpp>
#include <radishspread/runtime/rs_make_event.hpp>
#include <radishspread/runtime/rs_peer_server.hpp>
#include <radishspread/runtime/rs_runtime_events.hpp>
#include <radishspread/runtime/rs_step_error.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>

namespace radishspread::runtime {

namespace {

constexpr int backlog = 64;

endpoint to_endpoint(sockaddr_in const& address) {
    return {.address = ntohl(address.sin_addr.s_addr),
        .port = ntohs(address.sin_port)};
}

} // namespace

peer_server::peer_server(peer_server_options options, peer_server_source source)
    : options_(options), source_(std::move(source)) {}

peer_server::~peer_server() = default;

std::error_code peer_server::listen(endpoint at) {
    unique_fd fd(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    int const on = 1;
    setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(at.address);
    address.sin_port = htons(at.port);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (!fd || bind(fd.get(), generic, sizeof address) != 0 ||
        ::listen(fd.get(), backlog) != 0)
        return last_system_error();
    fd_ = std::move(fd);
    watch_ =
        fd_watch(fd_.get(), G_IO_IN, [this](GIOCondition) { accept_all(); });
    return {};
}

std::uint16_t peer_server::port() const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd_.get(), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

void peer_server::accept_all() {
    remove_closed();
    for (int n = 0; n < backlog; ++n) {
        sockaddr_in address{};
        socklen_t size = sizeof address;
        unique_fd fd(accept4(fd_.get(), reinterpret_cast<sockaddr*>(&address),
            &size, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd)
            return;
        auto const peer = to_endpoint(address);
        if (connections_.size() >= options_.max_connections) {
            log(peer_connection_refused, peer, {});
            continue;
        }
        connections_.push_back(std::make_unique<peer_server_connection>(
            std::move(fd), peer, options_, source_, monotonic_now()));
    }
}

void peer_server::tick(instant now) {
    for (auto& it : connections_) {
        auto const reason = it->check(now);
        if (!reason.empty())
            log(peer_connection_dropped, it->peer(), reason);
    }
    remove_closed();
}

void peer_server::flush() {
    for (auto& it : connections_)
        it->flush();
    remove_closed();
}

void peer_server::log(
    std::uint16_t number, endpoint peer, std::string_view text) {
    source_.log(make_event(number, step::exchange_digest, peer, 0, text));
}

void peer_server::remove_closed() {
    std::erase_if(connections_, [](auto const& it) { return it->is_closed(); });
}

} // namespace radishspread::runtime
