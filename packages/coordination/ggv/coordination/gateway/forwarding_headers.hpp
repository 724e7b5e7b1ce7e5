#pragma once

#include <string>

namespace ggv {

//! Names of the headers by which callers, this system and targets understand each other.
struct ForwardingHeaders
{
    std::string requestId; //!< Identity of one attempt of a caller; targets echo it.
    std::string deadline; //!< Milliseconds that the caller, or this system, still waits.
    std::string affinityCookie; //!< Cookie that names the object of a request, for affinity.
    std::string targetInstance; //!< Instance that alone may execute the request.
    std::string integrityMarker; //!< Signature of a target on its answer.
    std::string notExecuted; //!< On an answer: the target did not execute the request.
    std::string targetLoad; //!< Running, waiting and slots of a target, separated by commas.
};

} // namespace ggv
