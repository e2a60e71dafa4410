#ifndef RADISHSPREAD_TESTS_MATRIX_RS_MUTATIONS_HPP
#define RADISHSPREAD_TESTS_MATRIX_RS_MUTATIONS_HPP

#include <fakes/rs_action_filter.hpp>
#include <fakes/rs_deployment.hpp>

#include <memory>
#include <span>
#include <string_view>

namespace radishspread::matrix {

/// A decision that is wrong on purpose and the promise that it breaks. The
/// matrix must report this promise as broken in at least one case.
struct mutation {
    int promise = 0;
    std::string_view text;
    std::unique_ptr<fakes::action_filter> (*make)();
};

[[nodiscard]] std::span<mutation const> all_mutations();

} // namespace radishspread::matrix

#endif
