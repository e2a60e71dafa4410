#include <radishspread/core/rs_candidate_selection.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cmath>

namespace radishspread {

namespace {

constexpr std::array<std::string_view, 5> status_names{
    "chosen", "ranked_lower", "draining", "host_leaving", "domain_out"};
static_assert(status_names.size() ==
              static_cast<std::size_t>(candidate_status::domain_out) + 1);

/// Set in the sort key of a suspect, so that it ranks after all others.
constexpr std::uint64_t suspect_bit = std::uint64_t{1} << 63U;

/// Bits of the mantissa that index the logarithm table.
constexpr unsigned table_bits = 10;
constexpr std::size_t table_size = std::size_t{1} << table_bits;

/// log2(1 + i / table_size) for i in [0, table_size].
using log_table = std::array<double, table_size + 1>;

log_table make_log_table() {
    log_table table{};
    for (std::size_t i = 0; i != table.size(); ++i)
        table[i] = std::log2(1.0 + static_cast<double>(i) / table_size);
    return table;
}

log_table const log_values = make_log_table();

/// -log2(value / 2^64) by linear interpolation. The absolute error is below
/// 2e-7, far less than the differences that decide a rank; the cost is a tenth
/// of that of std::log2.
double negative_log2(std::uint64_t value) {
    auto const leading_zeros =
        static_cast<unsigned>(std::countl_zero(value | 1U));
    auto const fraction = (value | 1U) << leading_zeros << 1U;
    auto const index = static_cast<std::size_t>(fraction >> (64 - table_bits));
    constexpr double scale = 1.0 / 18446744073709551616.0; // 2^-64
    // Signed, because the conversion to double is then a single instruction.
    auto const remainder = static_cast<double>(
        static_cast<std::int64_t>((fraction << table_bits) >> 1U));
    auto const base = log_values[index];
    auto const mantissa =
        base + (log_values[index + 1] - base) * remainder * 2 * scale;
    return static_cast<double>(leading_zeros + 1) - mantissa;
}

/// Finalizer of splitmix64, which spreads each bit over the whole word. Applied
/// to the hash of a flow combined with the seed of a backend server.
std::uint64_t mix(std::uint64_t value) {
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/// Number of low bits of a sort key that hold the row index. A section is at
/// most 1 MB and has fewer rows than that; the score bits they replace are too
/// small to matter.
constexpr unsigned row_bits = 16;
constexpr std::uint64_t row_mask = (std::uint64_t{1} << row_bits) - 1;

/// The lowest sort keys so far, in ascending order. The insertion is free of
/// branches, because the outcome of the comparisons is unpredictable.
class best_rows {
public:
    best_rows() { keys_.fill(~std::uint64_t{0}); }

    void add(std::uint64_t score, std::size_t row) {
        auto key = (score & ~row_mask) | row;
        for (auto& it : keys_) {
            auto const higher = std::max(it, key);
            it = std::min(it, key);
            key = higher;
        }
    }

    [[nodiscard]] std::size_t operator[](std::size_t i) const {
        return keys_[i] & row_mask;
    }

private:
    std::array<std::uint64_t, max_candidates> keys_;
};

} // namespace

std::string_view to_string(candidate_status value) {
    return status_names[static_cast<std::size_t>(value)];
}

void candidate_table::add(
    backend_entry const& entry, std::uint32_t suspect_index) {
    if (rows_.size() > row_mask)
        return;
    auto const inverse = 1.0 / std::max<std::uint32_t>(entry.slots, 1);
    if (!rows_.empty() && rows_.front().inverse_weight != inverse)
        has_equal_weights_ = false;
    rows_.push_back({.seed = XXH3_64bits(&entry.id, sizeof entry.id),
        .inverse_weight = inverse,
        .suspect_index = suspect_index,
        .value = {
            .id = entry.id, .agent = entry.agent, .domain = entry.domain}});
}

candidate_list candidate_table::select(std::uint64_t flow_hash,
    std::uint8_t attempt, std::span<std::uint8_t const> suspects) const {
    // Once every candidate has been tried first, select another set, since all
    // of the previous ones may have failed together.
    auto const round = attempt / max_candidates;
    auto const hash = flow_hash + round * 0x9e3779b97f4a7c15U;
    best_rows best;
    for (std::size_t i = 0; i != rows_.size(); ++i) {
        auto const& server = rows_[i];
        auto const mixed = mix(hash ^ server.seed);
        // With equal weights no logarithm is needed: the largest hash has the
        // lowest score. Scores are not negative, so their bit patterns have the
        // same order as the scores.
        auto key = has_equal_weights_
                       ? ~mixed >> 1U
                       : std::bit_cast<std::uint64_t>(
                             negative_log2(mixed) * server.inverse_weight);
        if (server.suspect_index < suspects.size() &&
            suspects[server.suspect_index] != 0)
            key |= suspect_bit;
        best.add(key, i);
    }
    auto const n = std::min(rows_.size(), max_candidates);
    candidate_list list;
    auto next = n == 0 ? 0 : attempt % n;
    for (std::size_t i = 0; i != n; ++i) {
        list.push_back(rows_[best[next]].value);
        next = next + 1 == n ? 0 : next + 1;
    }
    return list;
}

std::vector<explained_backend> explain_candidates(
    service_section const& service, domains_section const* domains,
    std::span<hosts_section const* const> hosts, flow_key const& key,
    std::uint8_t attempt) {
    auto const is_out = [&](domain_id id) {
        return domains != nullptr &&
               std::any_of(domains->failure_domains.begin(),
                   domains->failure_domains.end(),
                   [&](auto const& it) { return it.id == id && it.is_out; });
    };
    auto const is_leaving = [&](std::string_view name) {
        return std::any_of(hosts.begin(), hosts.end(), [&](auto const* list) {
            return std::any_of(
                list->hosts.begin(), list->hosts.end(), [&](auto const& it) {
                    return it.is_leaving && it.name == name;
                });
        });
    };
    candidate_table table;
    std::vector<explained_backend> all;
    for (auto const& it : service.backend_servers) {
        auto const status = eligibility(it, is_out, is_leaving);
        all.push_back({.entry = &it, .status = status});
        if (status == candidate_status::ranked_lower)
            table.add(it);
    }
    auto const chosen = table.select(hash_value(key), attempt);
    for (std::size_t i = 0; i != chosen.size(); ++i)
        for (auto& it : all)
            if (it.entry->id == chosen[i].id) {
                it.status = candidate_status::chosen;
                it.rank = i + 1;
            }
    return all;
}

} // namespace radishspread
