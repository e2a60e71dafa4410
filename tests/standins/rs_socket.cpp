#include <standins/rs_socket.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <system_error>

namespace radishspread::standins {

namespace {

unique_fd bind_socket(int type, endpoint address) {
    unique_fd fd(socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    int const on = 1;
    if (type == SOCK_STREAM)
        setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const name = to_sockaddr(address);
    if (bind(fd.get(), reinterpret_cast<sockaddr const*>(&name), sizeof name) !=
        0)
        throw std::system_error(
            errno, std::generic_category(), "bind " + to_string(address));
    return fd;
}

} // namespace

sockaddr_in to_sockaddr(endpoint value) {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(value.address);
    name.sin_port = htons(value.port);
    return name;
}

endpoint to_endpoint(sockaddr_in const& value) {
    return {ntohl(value.sin_addr.s_addr), ntohs(value.sin_port)};
}

unique_fd bind_udp(std::uint32_t address, std::uint16_t port) {
    auto fd = bind_socket(SOCK_DGRAM, {address, port});
    int const size = 1 << 20;
    setsockopt(fd.get(), SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    return fd;
}

unique_fd listen_tcp(endpoint address) {
    auto fd = bind_socket(SOCK_STREAM, address);
    if (listen(fd.get(), SOMAXCONN) != 0)
        throw std::system_error(
            errno, std::generic_category(), "listen " + to_string(address));
    return fd;
}

} // namespace radishspread::standins
