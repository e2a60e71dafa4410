#ifndef RADISHSPREAD_TESTS_STANDINS_RS_SOCKET_HPP
#define RADISHSPREAD_TESTS_STANDINS_RS_SOCKET_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/runtime/rs_unique_fd.hpp>

#include <netinet/in.h>

namespace radishspread::standins {

using runtime::unique_fd;

[[nodiscard]] sockaddr_in to_sockaddr(endpoint value);
[[nodiscard]] endpoint to_endpoint(sockaddr_in const& value);

/// Creates a non-blocking UDP socket bound to `address`; for port 0 the kernel
/// chooses the port. Throws std::system_error.
[[nodiscard]] unique_fd bind_udp(std::uint32_t address, std::uint16_t port);

/// Creates a non-blocking, listening TCP socket. Throws std::system_error.
[[nodiscard]] unique_fd listen_tcp(endpoint address);

} // namespace radishspread::standins

#endif
