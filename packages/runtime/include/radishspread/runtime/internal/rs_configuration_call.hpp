#ifndef RADISHSPREAD_RUNTIME_INTERNAL_RS_CONFIGURATION_CALL_HPP
#define RADISHSPREAD_RUNTIME_INTERNAL_RS_CONFIGURATION_CALL_HPP

#include <radishspread/core/rs_time.hpp>
#include <radishspread/runtime/rs_section_response.hpp>

#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace radishspread::runtime {

/// One GET request to the configuration service or to a peer. Each pending
/// asynchronous operation of libsoup or GIO owns a reference to the object, so
/// it lives until the operation completes.
class configuration_call
    : public std::enable_shared_from_this<configuration_call> {
public:
    /// A reply of more than `max_reply_size` bytes ends with the error
    /// `message_size`. `era_header` names a header with a number; null: none.
    configuration_call(instant deadline, std::size_t max_reply_size,
        char const* era_header, response_callback callback);
    ~configuration_call();
    configuration_call(configuration_call const&) = delete;
    configuration_call& operator=(configuration_call const&) = delete;

    void start(SoupSession* session, std::string const& uri);

    /// Cancels the transfer; the callback is not called.
    void abandon();
    /// Cancels the transfer; the callback receives a timeout error.
    void expire();

    [[nodiscard]] instant deadline() const { return deadline_; }
    [[nodiscard]] bool is_done() const { return is_done_; }

private:
    using self_pointer = std::shared_ptr<configuration_call>;

    static void on_sent(GObject* source, GAsyncResult* result, gpointer data);
    static void on_chunk_read(
        GObject* source, GAsyncResult* result, gpointer data);
    void read_chunk();
    void read_headers();
    /// The number in a header of the reply; 0 if it has none.
    [[nodiscard]] std::uint64_t read_number(char const* header) const;
    void finish(std::error_code ec);

    instant deadline_;
    std::size_t max_reply_size_;
    char const* era_header_;
    response_callback callback_;
    SoupMessage* message_ = nullptr;
    GInputStream* stream_ = nullptr;
    GCancellable* cancellable_ = nullptr;
    section_response response_;
    bool is_done_ = false;
};

} // namespace radishspread::runtime

#endif
