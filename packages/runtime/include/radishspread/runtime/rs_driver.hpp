#ifndef RADISHSPREAD_RUNTIME_RS_DRIVER_HPP
#define RADISHSPREAD_RUNTIME_RS_DRIVER_HPP

#include <radishspread/core/rs_peer_digest.hpp>
#include <radishspread/core/rs_section.hpp>
#include <radishspread/runtime/rs_datagram_sockets.hpp>
#include <radishspread/runtime/rs_document_listener.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace radishspread::runtime {

/// Interface through which a process runs its core, the balancer or the agent.
class driver : public document_listener {
public:
    virtual void start() = 0;
    virtual void tick() = 0;
    virtual void stop(duration deadline) = 0;
    [[nodiscard]] virtual bool is_finished() const = 0;
    /// Requests in progress, which a forced shutdown aborts.
    [[nodiscard]] virtual std::size_t outstanding() const = 0;

    virtual void handle_datagrams(
        socket_key key, receive_batch const& batch, std::size_t count) = 0;
    /// Sends the data queued on the core's connections. Called before each
    /// poll.
    virtual void flush() = 0;

    [[nodiscard]] virtual section_ptr find(std::string_view name) const = 0;
    [[nodiscard]] virtual std::vector<digest_entry> index() const = 0;
};

} // namespace radishspread::runtime

#endif
