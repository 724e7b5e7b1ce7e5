#pragma once

#include <string>

namespace ggv {

//! Names of the HTTP headers exchanged with callers and targets.
struct ForwardingHeaders
{
    std::string requestId; //!< Id of one attempt of a caller; targets echo it.
    std::string deadline; //!< Remaining time of the sender in milliseconds.
    std::string affinityCookie; //!< Cookie with the affinity key of the requested object.
    std::string targetInstance; //!< The only instance that may execute the request.
    std::string integrityMarker; //!< Signature by the target; required on successful responses.
    std::string notExecuted; //!< On a response: the target did not execute the request.
    std::string targetLoad; //!< "running,waiting,slots" of a target.
    std::string targetLeaving; //!< On a response, with value "1": the target is leaving.
    //! On a response: requests per second that the target takes from all hosts together.
    std::string targetRateLimit;
    std::string answeringInstance; //!< On a response of the health path: the target that sent it.
    std::string coldTime; //!< The same: milliseconds for which the target remains cold.
};

} // namespace ggv
