#ifndef RADISHSPREAD_RUNTIME_INTERNAL_RS_CONFIGURATION_CALL_HPP
#define RADISHSPREAD_RUNTIME_INTERNAL_RS_CONFIGURATION_CALL_HPP

#include <radishspread/core/rs_time.hpp>
#include <radishspread/runtime/rs_section_response.hpp>

#include <libsoup/soup.h>

#include <memory>
#include <string>

namespace radishspread::runtime {

/// One GET request at the configuration service. It keeps itself alive while
/// the library holds a callback of it.
class configuration_call
    : public std::enable_shared_from_this<configuration_call> {
public:
    configuration_call(instant limit, response_callback call);
    ~configuration_call();
    configuration_call(configuration_call const&) = delete;
    configuration_call& operator=(configuration_call const&) = delete;

    void start(SoupSession* session, std::string const& uri);

    /// Stops the transfer, without a call.
    void abandon();
    /// Stops the transfer; the call reports a timeout.
    void expire();

    [[nodiscard]] instant limit() const { return limit_; }
    [[nodiscard]] bool is_done() const { return is_done_; }

private:
    using holder = std::shared_ptr<configuration_call>;

    static void sent(GObject* source, GAsyncResult* result, gpointer data);
    static void got_part(GObject* source, GAsyncResult* result, gpointer data);
    void read_part();
    void read_headers();
    void finish(std::error_code ec);

    instant limit_;
    response_callback call_;
    SoupMessage* message_ = nullptr;
    GInputStream* stream_ = nullptr;
    GCancellable* cancel_ = nullptr;
    section_response response_;
    bool is_done_ = false;
};

} // namespace radishspread::runtime

#endif
