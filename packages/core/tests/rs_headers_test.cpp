// Compiles every public header of the decision core, so that a header that
// does not stand alone fails the build.
#include <radishspread/core/rs_agent.hpp>
#include <radishspread/core/rs_balancer.hpp>
