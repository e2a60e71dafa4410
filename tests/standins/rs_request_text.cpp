#include <standins/rs_request_text.hpp>

#include <charconv>
#include <random>
#include <sstream>

namespace radishspread::standins {

std::vector<std::byte> encode(request_text const& it) {
    std::ostringstream out;
    out << it.identity << ' ' << it.service << ' ' << it.idempotent << ' '
        << it.answer_size << ' ' << it.work_ms;
    auto const text = out.str();
    auto const bytes = std::as_bytes(std::span(text));
    return {bytes.begin(), bytes.end()};
}

std::optional<request_text> parse_request(std::string_view text) {
    std::istringstream in{std::string(text)};
    request_text it;
    in >> it.identity >> it.service >> it.idempotent >> it.answer_size >>
        it.work_ms;
    if (!in)
        return std::nullopt;
    return it;
}

std::string make_answer(request_text const& it) {
    auto answer = std::to_string(it.identity) + '\n';
    std::minstd_rand random(
        static_cast<std::minstd_rand::result_type>(it.identity));
    while (answer.size() < it.answer_size)
        answer.push_back(static_cast<char>('a' + random() % 26));
    return answer;
}

std::uint64_t answer_identity(std::span<std::byte const> body) {
    auto const* const text = reinterpret_cast<char const*>(body.data());
    std::uint64_t identity = 0;
    std::from_chars(text, text + body.size(), identity);
    return identity;
}

} // namespace radishspread::standins
