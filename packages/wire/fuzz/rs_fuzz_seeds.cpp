// Writes the seed corpus of the datagram fuzz target into the directory given
// as argument: one message of each kind, without the tag.
#include "../tests/rs_sample_messages.hpp"

#include <fstream>
#include <iostream>

using namespace radishspread::wire;

namespace {

void write(std::string const& file, std::span<std::byte const> data) {
    std::ofstream out(file, std::ios::binary);
    out.write(reinterpret_cast<char const*>(data.data()),
        static_cast<std::streamsize>(data.size()));
    if (!out)
        throw std::runtime_error("cannot write " + file);
}

void write_all(std::string const& directory) {
    constexpr std::size_t tag_size = 8;
    encoder codec(sample_key);
    write(directory + "/caller_packet", codec.encode(sample_packet));
    write(directory + "/caller_reply", codec.encode(sample_reply));
    auto tagged = [&](char const* name, auto const& message) {
        write(directory + '/' + name, codec.encode(message).subspan(tag_size));
    };
    tagged("forward", sample_forward);
    tagged("deliver", sample_deliver);
    tagged("peer_digest", sample_digest);
    tagged("handover", sample_handover);
    tagged("handover_reply", sample_handover_reply);
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "usage: radishspread_fuzz_seeds DIRECTORY\n";
        return 2;
    }
    try {
        write_all(argv[1]);
    } catch (std::exception const& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
