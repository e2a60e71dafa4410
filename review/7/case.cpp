// A route is added and a front machine joins, while another front machine's
// watch of the store was just cut. Are open flows on the new route reset?
#include "fleet.hpp"
#include "manifest.hpp"

using namespace standin;

namespace {

class test {
public:
    test(fleet& it, bool has_trouble) : fleet_(it), has_trouble_(has_trouble) {}

    int run() {
        // One of three seed nodes is this fleet's; the others have been
        // replaced since.
        fleet_.seeds.pop_back();
        fleet_.add_stale_seed();
        fleet_.add_stale_seed();
        for (char const* zone : {"a", "a", "a", "a"})
            fleet_.add_front(zone);
        fleet_.add_side("a", "orders");
        fleet_.add_side("a", "orders");
        for (int n = 0; n != 4; ++n)
            fleet_.add_client().on_reset = [this](auto const& flow, bool open) {
                on_reset(flow, open);
            };
        for (auto& it : fleet_.sides)
            fleet_.announce(it);
        fleet_.center->put("op/config", manifest(7, fleet_, 1));
        for (auto& it : fleet_.fronts)
            if (&it != &added())
                it.daemon->start();
        for (auto& it : fleet_.sides)
            it.daemon->start();
        fleet_.start_polls();
        fleet_.events.after(ms(2500), [this] { begin(); });
        fleet_.events.run();
        return finish();
    }

private:
    machine& added() { return fleet_.fronts.back(); }

    void begin() {
        for (auto const& it : fleet_.fronts)
            if (&it != &added() && !it.is_in_rotation)
                cannot_run(it.name + " is not ready");
        if (has_trouble_) {
            fleet_.log.line("the store cuts the watches of front-1");
            fleet_.center->cut_watches(fleet_.fronts.front().door);
        }
        fleet_.events.after(ms(200), [this] {
            fleet_.center->put("op/config", manifest(9, fleet_, 2));
            fleet_.log.line("manifest 9 adds a route, acknowledged");
        });
        fleet_.events.after(ms(250), [this] { open_new(); });
        fleet_.events.after(ms(400), [this] {
            fleet_.log.line("front-4 is added");
            added().daemon->start();
        });
        fleet_.events.after(ms(6000), [this] { fleet_.events.stop(); });
    }

    // Clients use the new route; each flow is kept for its requests.
    void open_new() {
        if (++openings_ > 60)
            return;
        auto& from = *fleet_.clients[openings_ % 4];
        auto const flow = std::make_shared<client_flow_pointer>();
        *flow = from.open(fleet_.route_address(2), [this, &from, flow] {
            ++opened_;
            ask(from, *flow, 20);
        });
        fleet_.events.after(ms(5), [this] { open_new(); });
    }

    void ask(client& from, client_flow_pointer const& flow, int left) {
        from.ask(flow, "request " + std::to_string(++requests_),
            [this, &from, flow, left](std::string const& answer) {
                if (answer.empty()) {
                    ++unanswered_;
                    return;
                }
                if (left == 1)
                    return from.finish(flow);
                fleet_.events.after(ms(100),
                    [this, &from, flow, left] { ask(from, flow, left - 1); });
            });
    }

    void on_reset(client_flow_pointer const& flow, bool was_open) {
        int const n = fleet_.select(flow->key);
        if (was_open)
            ++reset_;
        else
            ++refused_;
        fleet_.log.line(client::name(*flow) + ": its packets go to front-" +
                        std::to_string(n + 1));
    }

    int finish() {
        auto const text =
            std::to_string(opened_) + " flows opened on the new route, " +
            std::to_string(refused_) + " openings refused; " +
            std::to_string(reset_) + " open flows reset by the system, " +
            std::to_string(unanswered_) + " requests without an answer";
        fleet_.log.line(text);
        fleet_.log.line(reset_ == 0 ? "FLOW held" : "FLOW was broken");
        std::printf("%s\n", text.c_str());
        if (opened_ == 0)
            cannot_run("no flow was opened");
        return reset_ == 0 ? 0 : 1;
    }

    fleet& fleet_;
    bool has_trouble_;
    unsigned requests_ = 0;
    unsigned openings_ = 0;
    unsigned opened_ = 0;
    unsigned refused_ = 0;
    unsigned reset_ = 0;
    unsigned unanswered_ = 0;
};

} // namespace

int main(int argc, char** argv) {
    if (argc != 5)
        cannot_run("usage: PROGRAM FOLDER RECORD TROUBLE");
    fleet it(argv[1], argv[2], argv[3]);
    return test(it, std::string(argv[4]) != "0").run();
}
