#include <standins/rs_section_store.hpp>

#include <algorithm>
#include <stdexcept>

namespace radishspread::standins {

revision section_store::edit(std::string const& name, std::string text) {
    if (text.size() > max_text_size)
        throw std::length_error("section larger than 1 MB: " + name);
    sections_[name].push_back({++index_, std::move(text)});
    for (auto const& listener : listeners_)
        listener();
    return index_;
}

stored_section const* section_store::find(
    std::string const& name, revision limit) const {
    auto const it = sections_.find(name);
    if (it == sections_.end())
        return nullptr;
    auto const& history = it->second;
    auto const last = std::find_if(history.rbegin(), history.rend(),
        [&](auto const& section) { return section.revision_number <= limit; });
    return last == history.rend() ? nullptr : &*last;
}

std::vector<std::pair<std::string, revision>> section_store::changes(
    revision after, revision limit) const {
    std::vector<std::pair<std::string, revision>> result;
    for (auto const& [name, history] : sections_) {
        auto const* const section = find(name, limit);
        if (section != nullptr && section->revision_number > after)
            result.emplace_back(name, section->revision_number);
    }
    return result;
}

void section_store::on_edit(std::function<void()> action) {
    listeners_.push_back(std::move(action));
}

} // namespace radishspread::standins
