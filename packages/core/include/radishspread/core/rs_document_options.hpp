#ifndef RADISHSPREAD_CORE_RS_DOCUMENT_OPTIONS_HPP
#define RADISHSPREAD_CORE_RS_DOCUMENT_OPTIONS_HPP

#include <radishspread/core/rs_endpoint.hpp>
#include <radishspread/core/rs_ids.hpp>
#include <radishspread/core/rs_time.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace radishspread {

/// Options of the document.
struct document_options {
    endpoint self; ///< Peer endpoint of this process.
    incarnation_id incarnation = 0;
    bool is_balancer = false;
    std::string service;         ///< Agent: name of its service.
    std::string failure_domain;  ///< Failure domain of this process.
    std::vector<endpoint> peers; ///< Peers from the settings.
    std::uint64_t seed = 0;      ///< Seed of jitter and of the choice of peers.
    duration pause_limit = std::chrono::seconds(1);
    duration read_jitter = std::chrono::seconds(2);
    duration retry_minimum = std::chrono::milliseconds(500);
    duration retry_maximum = std::chrono::seconds(30);
    duration digest_interval = std::chrono::seconds(1);
    duration proof_timeout = std::chrono::seconds(2);
    std::size_t max_sections = 1024;
    std::size_t max_text = 24U << 20U; ///< Bytes of all section texts.
};

} // namespace radishspread

#endif
