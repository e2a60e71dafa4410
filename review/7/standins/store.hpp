// The platform's store: items, complete reads and watches over HTTP.
#ifndef REVIEW_2_STORE_HPP
#define REVIEW_2_STORE_HPP

#include "loop.hpp"

#include <list>
#include <memory>
#include <string>

namespace standin {

inline std::string base64(std::string const& in) {
    constexpr char const* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < in.size(); n += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k != 3; ++k)
            bits = bits << 8U |
                   (n + k < in.size() ? static_cast<unsigned char>(in[n + k])
                                      : 0U);
        for (std::size_t k = 0; k != 4; ++k)
            out +=
                n + k <= in.size() ? digits[bits >> 6U * (3 - k) & 63U] : '=';
    }
    return out;
}

class store {
public:
    /// Time that an answer takes.
    static constexpr ms answer_time{4};

    explicit store(loop& events) : loop_(events) {}
    store(store const&) = delete;
    store& operator=(store const&) = delete;

    /// Opens an address for the calls of one machine.
    void open_door(address const& at) {
        int const fd = new_listener(at);
        loop_.watch(fd, [this, fd, at] { accept_call(fd, at); });
    }

    /// Cuts the watches that wait at the machine's address, without an answer.
    void cut_watches(address const& door) {
        std::list<call_pointer> cut;
        for (auto const& it : calls_)
            if (it->door == door)
                cut.push_back(it);
        for (auto const& it : cut) {
            calls_.remove(it);
            close_call(it);
        }
    }

    void put(std::string const& key, std::string const& value) {
        auto& it = items_[key];
        it.revision = ++revision_;
        if (it.created == 0)
            it.created = revision_;
        it.value = value;
        history_.push_back({revision_, key, json(key, it)});
        wake();
    }
    void remove(std::string const& key) {
        items_.erase(key);
        ++revision_;
        history_.push_back({revision_, key,
            R"({"key":")" + key + R"(","revision":)" +
                std::to_string(revision_) + R"(,"tombstone":true})"});
        wake();
    }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

    /// Forgets its history: from now on watches hear nothing, for `time`; then
    /// the history is dropped and they are cut.
    void forget_history(ms time) {
        deaf_since_ = revision_;
        is_deaf_ = true;
        loop_.after(time, [this] {
            is_deaf_ = false;
            history_floor_ = revision_;
            history_.clear();
            auto const cut = std::move(calls_);
            calls_.clear();
            for (auto const& it : cut)
                close_call(it);
        });
    }

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct change {
        std::uint64_t revision;
        std::string key;
        std::string json;
    };
    struct call {
        int fd = -1;
        address door;
        std::string text;
        std::string prefix;
        std::uint64_t after = 0;
        bool is_done = false;
    };
    using call_pointer = std::shared_ptr<call>;

    static std::string json(std::string const& key, item const& it) {
        return R"({"key":")" + key + R"(","value":")" + base64(it.value) +
               R"(","revision":)" + std::to_string(it.revision) +
               R"(,"created":)" + std::to_string(it.created) + R"(,"lease":0})";
    }

    static std::string parameter(
        std::string const& path, std::string const& name) {
        auto at = path.find('?' + name + '=');
        if (at == std::string::npos)
            at = path.find('&' + name + '=');
        if (at == std::string::npos)
            return {};
        at += name.size() + 2;
        auto out = path.substr(at, path.find('&', at) - at);
        for (auto n = out.find('%'); n != std::string::npos; n = out.find('%'))
            out.replace(n, 3, 1,
                static_cast<char>(
                    std::stoi(out.substr(n + 1, 2), nullptr, 16)));
        return out;
    }

    void accept_call(int listener, address const& door) {
        for (;;) {
            int const fd = accept4(
                listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (fd < 0)
                return;
            auto const it = std::make_shared<call>();
            it->fd = fd;
            it->door = door;
            loop_.watch(fd, [this, it] { read_call(it); });
        }
    }

    void read_call(call_pointer const& it) {
        char buf[4096];
        auto const n = read(it->fd, buf, sizeof buf);
        if (n < 0)
            return;
        if (n == 0) {
            calls_.remove(it);
            return close_call(it);
        }
        it->text.append(buf, static_cast<std::size_t>(n));
        if (it->text.find("\r\n\r\n") == std::string::npos)
            return;
        auto const from = it->text.find(' ') + 1;
        auto const path =
            it->text.substr(from, it->text.find(' ', from) - from);
        loop_.after(answer_time, [this, it, path] { answer_path(it, path); });
    }

    void answer_path(call_pointer const& it, std::string const& path) {
        if (it->is_done)
            return;
        it->prefix = parameter(path, "prefix");
        if (path.starts_with("/api/kv-range"))
            return answer_range(it, parameter(path, "after"));
        if (!path.starts_with("/api/kv-watch"))
            return reply(it, 404, "{}");
        it->after = std::stoull(parameter(path, "after"));
        if (it->after < history_floor_)
            return reply(it, 410, "{}");
        if (answer_watch(it, false))
            return;
        calls_.push_back(it);
        loop_.after(ms(std::stol(parameter(path, "wait-ms"))), [this, it] {
            if (it->is_done)
                return;
            calls_.remove(it);
            answer_watch(it, true);
        });
    }

    void answer_range(call_pointer const& it, std::string const& after) {
        std::string list;
        for (auto const& [key, value] : items_)
            if (key.starts_with(it->prefix) && key > after)
                list += (list.empty() ? "" : ",") + json(key, value);
        reply(it, 200,
            R"({"items":[)" + list + R"(],"has-more":false,"as-of":)" +
                std::to_string(revision_) + "}");
    }

    /// Answers if there are events, or in any case if the wait is over.
    bool answer_watch(call_pointer const& it, bool is_over) {
        auto const last = is_deaf_ ? deaf_since_ : revision_;
        std::string list;
        for (auto const& event : history_)
            if (event.revision > it->after && event.revision <= last &&
                event.key.starts_with(it->prefix))
                list += (list.empty() ? "" : ",") + event.json;
        if (list.empty() && !is_over)
            return false;
        reply(it, 200,
            R"({"events":[)" + list + R"(],"as-of":)" +
                std::to_string(std::max(last, it->after)) + "}");
        return true;
    }

    void wake() {
        if (is_deaf_)
            return;
        // The change takes as long as an answer to reach a watch.
        loop_.after(answer_time, [this] {
            if (!is_deaf_)
                calls_.remove_if([this](call_pointer const& it) {
                    return answer_watch(it, false);
                });
        });
    }

    void reply(call_pointer const& it, int status, std::string const& body) {
        auto const text = "HTTP/1.1 " + std::to_string(status) +
                          " Status\r\nContent-Type: application/json\r\n"
                          "Connection: close\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body;
        // Blocking: the answers are short and their readers wait for them.
        fcntl(it->fd, F_SETFL, 0);
        std::size_t done = 0;
        while (done < text.size()) {
            auto const n = send(
                it->fd, text.data() + done, text.size() - done, MSG_NOSIGNAL);
            if (n <= 0)
                break;
            done += static_cast<std::size_t>(n);
        }
        close_call(it);
    }

    void close_call(call_pointer const& it) {
        if (std::exchange(it->is_done, true))
            return;
        loop_.forget(it->fd);
        close(it->fd);
    }

    loop& loop_;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t history_floor_ = 0;
    std::uint64_t deaf_since_ = 0;
    bool is_deaf_ = false;
    std::list<call_pointer> calls_; ///< Watches that wait.
};

} // namespace standin

#endif
