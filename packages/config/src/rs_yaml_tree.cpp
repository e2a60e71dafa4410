#include <radishspread/config/internal/rs_yaml_tree.hpp>

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <exception>
#include <sstream>
#include <utility>

namespace radishspread::config::internal {

namespace {

/// Converts a position of yaml-cpp, which counts from 0.
position position_of(YAML::Mark const& mark) {
    if (mark.is_null())
        return {};
    return {.line = mark.line + 1, .column = mark.column + 1};
}

/// Thrown at the first unsupported construct, so that yaml-cpp does not spend
/// time and memory on the rest of the text.
struct parsing_stopped : std::exception {
    parsing_stopped(position at, std::string text)
        : where(at), expected(std::move(text)) {}

    [[nodiscard]] char const* what() const noexcept override {
        return expected.c_str();
    }

    position where;
    std::string expected;
};

/// Builds the tree from parser events, so that limits are enforced during
/// parsing.
class tree_builder final : public YAML::EventHandler {
public:
    void OnDocumentStart(YAML::Mark const&) override {}
    void OnDocumentEnd() override {}

    void OnNull(YAML::Mark const& mark, YAML::anchor_t anchor) override {
        add({.kind = node_kind::null, .where = position_of(mark)}, anchor);
    }

    void OnAlias(YAML::Mark const& mark, YAML::anchor_t) override {
        throw parsing_stopped(
            position_of(mark), "expected no anchors and aliases");
    }

    void OnScalar(YAML::Mark const& mark, std::string const& tag,
        YAML::anchor_t anchor, std::string const& value) override {
        auto const where = position_of(mark);
        if (value.size() > max_scalar)
            throw parsing_stopped(where, "expected at most " +
                                             std::to_string(max_scalar) +
                                             " characters in one value");
        bool const is_plain = tag == "?";
        if (!is_plain)
            check_tag(mark, tag);
        add({.kind = is_plain ? node_kind::plain : node_kind::quoted,
                .where = where,
                .text = value},
            anchor);
    }

    void OnSequenceStart(YAML::Mark const& mark, std::string const& tag,
        YAML::anchor_t anchor, YAML::EmitterStyle::value) override {
        open(node_kind::sequence, mark, tag, anchor);
    }

    void OnMapStart(YAML::Mark const& mark, std::string const& tag,
        YAML::anchor_t anchor, YAML::EmitterStyle::value) override {
        open(node_kind::map, mark, tag, anchor);
    }

    void OnSequenceEnd() override { open_.pop_back(); }
    void OnMapEnd() override { open_.pop_back(); }

    [[nodiscard]] yaml_node take() { return std::move(root_); }

private:
    /// Rejects explicit tags. yaml-cpp itself reports the tag "!" for quoted
    /// scalars and "?" for all plain nodes.
    static void check_tag(YAML::Mark const& mark, std::string const& tag) {
        if (!tag.empty() && tag != "!" && tag != "?")
            throw parsing_stopped(position_of(mark), "expected no tags");
    }

    void open(node_kind kind, YAML::Mark const& mark, std::string const& tag,
        YAML::anchor_t anchor) {
        check_tag(mark, tag);
        if (open_.size() == max_nesting)
            throw parsing_stopped(position_of(mark),
                "expected at most " + std::to_string(max_nesting) +
                    " levels of nesting");
        auto& it = add({.kind = kind, .where = position_of(mark)}, anchor);
        open_.push_back(&it);
    }

    /// Adds a node to the innermost open one. The addresses in `open_` stay
    /// valid, because only the innermost open node gets new items.
    yaml_node& add(yaml_node it, YAML::anchor_t anchor) {
        if (anchor != 0)
            throw parsing_stopped(it.where, "expected no anchors and aliases");
        if (++nodes_ > max_nodes)
            throw parsing_stopped(it.where,
                "expected at most " + std::to_string(max_nodes) + " values");
        if (open_.empty()) {
            root_ = std::move(it);
            return root_;
        }
        return open_.back()->items.emplace_back(std::move(it));
    }

    yaml_node root_;
    std::vector<yaml_node*> open_;
    std::size_t nodes_ = 0;
};

/// Maximum number of indicators, the characters "[]{},:?", in one flow
/// collection. The longest collection in use, a list of backend servers in
/// braces, has about 16 indicators for each entry.
constexpr std::size_t max_flow_indicators = 32'768;

/// Checks flow collections before yaml-cpp parses them. yaml-cpp queues all
/// tokens of a flow collection before it emits the first event, at about 100
/// bytes each, so the limits in `tree_builder` would apply too late to a text
/// of brackets.
class flow_collection_checker {
public:
    explicit flow_collection_checker(fault_list& faults) : faults_(faults) {}

    /// Returns false and adds a fault if a limit is exceeded.
    bool check(std::string_view text) {
        for (char const c : text) {
            ++at_.column;
            if (c == '#' && (previous_ == ' ' || previous_ == '\n'))
                is_comment_ = true;
            if (!is_comment_ && !check_indicator(c))
                return false;
            if (c == '\n') {
                is_comment_ = false;
                at_ = {.line = at_.line + 1, .column = 0};
            }
            previous_ = c;
        }
        return true;
    }

private:
    bool check_indicator(char c) {
        if (c == '[' || c == '{')
            ++depth_;
        if (depth_ == 0)
            return true;
        if (std::string_view("[]{},:?").find(c) != std::string_view::npos)
            ++indicators_;
        if (c == ']' || c == '}')
            --depth_;
        if (depth_ == 0)
            indicators_ = 0;
        if (depth_ > max_nesting)
            return fail(std::to_string(max_nesting) + " levels of nesting");
        if (indicators_ > max_flow_indicators)
            return fail(std::to_string(max_flow_indicators) +
                        " indicators in one flow collection");
        return true;
    }

    bool fail(std::string const& limit) {
        faults_.add(at_, {}, "expected at most " + limit);
        return false;
    }

    fault_list& faults_;
    position at_{.line = 1, .column = 0};
    std::size_t depth_ = 0;
    std::size_t indicators_ = 0;
    bool is_comment_ = false;
    char previous_ = '\n';
};

yaml_node parse_checked(std::string const& text, fault_list& faults) {
    std::istringstream in(text);
    YAML::Parser parser(in);
    tree_builder builder;
    if (!parser.HandleNextDocument(builder)) {
        faults.add({}, {}, "expected a YAML document, found nothing");
        return {};
    }
    tree_builder rest;
    if (parser.HandleNextDocument(rest)) {
        faults.add({}, {}, "expected one YAML document, found several");
        return {};
    }
    return builder.take();
}

} // namespace

std::string describe(yaml_node const& it) {
    constexpr std::size_t max_length = 40;
    switch (it.kind) {
    case node_kind::null:
        return "nothing";
    case node_kind::sequence:
        return "a list";
    case node_kind::map:
        return "a map";
    default:
        break;
    }
    std::string text = it.text.substr(0, max_length);
    for (auto& c : text)
        if (static_cast<unsigned char>(c) < ' ')
            c = '?';
    if (it.text.size() > max_length)
        text += "...";
    return it.kind == node_kind::quoted ? "the string '" + text + '\''
                                        : '\'' + text + '\'';
}

yaml_node parse_yaml(std::string_view text, fault_list& faults) {
    if (text.size() > max_text) {
        faults.add({}, {},
            "expected at most " + std::to_string(max_text) + " bytes, found " +
                std::to_string(text.size()));
        return {};
    }
    if (!flow_collection_checker(faults).check(text))
        return {};
    try {
        return parse_checked(std::string(text), faults);
    } catch (parsing_stopped const& it) {
        faults.add(it.where, {}, it.expected);
    } catch (YAML::Exception const& it) {
        faults.add(
            position_of(it.mark), {}, "expected well-formed YAML: " + it.msg);
    }
    return {};
}

} // namespace radishspread::config::internal
