#include <radishspread/wire/rs_wire_error.hpp>

namespace radishspread::wire {

namespace {

class category final : public std::error_category {
public:
    [[nodiscard]] char const* name() const noexcept override {
        return "radishspread.wire";
    }

    [[nodiscard]] std::string message(int value) const override {
        switch (static_cast<wire_error>(value)) {
        case wire_error::too_large:
            return "datagram is larger than 1400 bytes";
        case wire_error::truncated:
            return "datagram is shorter than the minimum size";
        case wire_error::wrong_tag:
            return "keyed tag does not match the fleet key";
        case wire_error::malformed:
            return "FlatBuffers encoding is malformed";
        case wire_error::unknown_kind:
            return "unknown enumerator value";
        case wire_error::out_of_range:
            return "value is out of range";
        }
        return "unknown error";
    }
};

} // namespace

std::error_category const& wire_category() {
    static category const instance;
    return instance;
}

std::error_code make_error_code(wire_error value) {
    return {static_cast<int>(value), wire_category()};
}

} // namespace radishspread::wire
