#pragma once

#include <string>
#include <vector>

namespace ggv::test {

//! A response that goes on without end.
struct EndlessAnswer
{
    std::string name;
    std::string start;
    std::string pattern; //!< Repeated after the start.
};

//! @return Responses of which a head or a body has no end.
inline std::vector<EndlessAnswer> endlessAnswers()
{
    const std::string success = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = success + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        { "letters", "", "x" },
        { "status line", "HTTP/1.1 200 O", "K" },
        { "header lines", success, "A: x\r\n" },
        { "interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
        { "invalid status", "HTTP/1.1 000 Text\r\n\r\n", "x" },
        { "body until close", success + "\r\n", "x" },
        { "giant length", success + "Content-Length: 1152921504606846976\r\n\r\n", "x" },
        { "chunks", chunked, "4\r\nxxxx\r\n" },
        { "large chunks", chunked, "1000\r\n" + std::string(0x1000, 'x') + "\r\n" },
        { "chunk extension", chunked + "1;a=", "x" },
    };
}

} // namespace ggv::test
