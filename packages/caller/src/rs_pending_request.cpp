#include <radishspread/caller/internal/rs_pending_request.hpp>

namespace radishspread::internal {

bool answer_buffer::add(caller_reply const& part) {
    bool const is_first = !total_.has_value();
    bool const is_same = !is_first && *total_ == part.total;
    // A part with a different total length belongs to another answer.
    if (!is_first && !is_same)
        return false;
    total_ = part.total;
    status_ = part.status;
    std::size_t const end = std::size_t{part.offset} + part.payload.size();
    if (part.offset <= body_.size() && end > body_.size()) {
        auto const new_bytes = part.payload.subspan(body_.size() - part.offset);
        body_.insert(body_.end(), new_bytes.begin(), new_bytes.end());
    }
    return body_.size() >= *total_;
}

std::uint32_t answer_buffer::received() const {
    return static_cast<std::uint32_t>(body_.size());
}

} // namespace radishspread::internal
