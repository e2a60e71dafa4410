// Compiles the public headers of the decision core, so that a header with a
// missing include fails the build.
#include <radishspread/core/rs_agent.hpp>
#include <radishspread/core/rs_balancer.hpp>
