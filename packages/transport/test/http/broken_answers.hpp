#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ggv::test {

//! A response that breaks the syntax or the semantics of HTTP/1.1.
struct BrokenAnswer
{
    std::string name;
    std::string bytes;
};

//! @return Text in which bytes other than printable ASCII are written as numbers.
inline std::string printable(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string out;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte >= ' ' && byte <= '~')
            out += c;
        else
            out += std::string("\\x") + Digits[byte / Digits.size()] + Digits[byte % Digits.size()];
    }
    return out;
}

//! Bytes that no name of a header field may hold: blanks, control bytes and one beyond ASCII.
inline constexpr std::string_view InvalidNameBytes { " \t\0\x01\x0B\x0C\x1B\x7F\r\x80", 10 };

/**
 * @brief Responses with a status line that isn't valid or a status outside of 100 to 599.
 * @param fields Header fields, each with its line end, that make the response look sound.
 */
inline std::vector<BrokenAnswer> answersWithInvalidStatus(const std::string &fields)
{
    std::vector<BrokenAnswer> answers;
    for (const std::string status :
         { "000", "001", "042", "099", "600", "777", "999", "20", "2000", "2x0", "-20", "+20" }) {
        const std::string head = "HTTP/1.1 " + status + " Text\r\n" + fields;
        answers.push_back({ status + " with a length", head + "Content-Length: 5\r\n\r\nwhole" });
        answers.push_back({ status + " in chunks",
                            head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" });
        answers.push_back({ status + " until close", head + "\r\nwhole" });
        answers.push_back(
            { status + " after an interim response",
              "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwhole" });
    }
    return answers;
}

//! Responses with a byte in the name of a header field that no name may hold.
//! @param fields See answersWithInvalidStatus().
inline std::vector<BrokenAnswer> answersWithInvalidName(const std::string &fields)
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::string length = "Content-Length: 5\r\n\r\nwhole";
    const std::string chunks = "\r\n5\r\nwhole\r\n0\r\n\r\n";
    std::vector<BrokenAnswer> answers;
    for (const char c : InvalidNameBytes) {
        const std::string byte(1, c);
        const auto add = [&](const std::string &where, const std::string &bytes) {
            answers.push_back({ printable(byte) + " " + where, start + bytes });
        };
        add("before the first name", byte + "X: z\r\n" + fields + length);
        add("in a name", fields + "X" + byte + "Y: z\r\n" + length);
        add("after a name", fields + "X" + byte + ": z\r\n" + length);
        add("in Content-Length", fields + "Content" + byte + "Length: 5\r\n\r\nwhole");
        add("after Content-Length", fields + "Content-Length" + byte + ": 5\r\n\r\nwhole");
        add("after Transfer-Encoding",
            fields + "Transfer-Encoding" + byte + ": chunked\r\n" + chunks);
        if (byte == " " || byte == "\t")
            continue; // At the start of a later line, these continue the line before.
        add("before a name", fields + byte + "X: z\r\n" + length);
        add("before Content-Length", fields + byte + length);
        add("before Transfer-Encoding", fields + byte + "Transfer-Encoding: chunked\r\n" + chunks);
    }
    return answers;
}

//! Responses in which a blank begins the name of a header field: the line continues the one before.
//! @param fields See answersWithInvalidStatus().
inline std::vector<BrokenAnswer> answersWithFoldedLine(const std::string &fields)
{
    const std::string start = "HTTP/1.1 200 OK\r\n" + fields + "A: b\r\n";
    const std::string chunks = "\r\n5\r\nwhole\r\n0\r\n\r\n";
    std::vector<BrokenAnswer> answers;
    for (const std::string blank : { " ", "\t", " \t" }) {
        const auto add = [&](const std::string &where, const std::string &bytes) {
            answers.push_back({ "'" + printable(blank) + "' " + where, start + bytes });
        };
        add("before a name", blank + "X: z\r\nContent-Length: 5\r\n\r\nwhole");
        add("before the last line", "Content-Length: 5\r\n" + blank + "X: z\r\n\r\nwhole");
        add("before Content-Length", blank + "Content-Length: 5\r\n\r\nwhole and more");
        add("before Transfer-Encoding", blank + "Transfer-Encoding: chunked\r\n" + chunks);
        add("alone", blank + "\r\nContent-Length: 5\r\n\r\nwhole");
    }
    return answers;
}

//! Responses with a byte in the name of a trailer field that no name may hold.
//! @param fields See answersWithInvalidStatus().
inline std::vector<BrokenAnswer> answersWithInvalidTrailerName(const std::string &fields)
{
    const std::string start
        = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n";
    std::vector<BrokenAnswer> answers;
    for (const char c : InvalidNameBytes)
        answers.push_back({ printable(std::string(1, c)) + " in a trailer's name",
                            start + "X" + std::string(1, c) + "Y: z\r\n\r\n" });
    return answers;
}

//! Responses with a transfer coding that no request asks for.
//! @param fields See answersWithInvalidStatus().
inline std::vector<BrokenAnswer> answersWithUnknownCoding(const std::string &fields)
{
    const std::string start = "HTTP/1.1 200 OK\r\n" + fields;
    const std::string chunks = "5\r\nwhole\r\n0\r\n\r\n";
    std::vector<BrokenAnswer> answers;
    for (const std::string coding :
         { "gzip", "xchunked", "chunkedx", "chunked, gzip", "gzip, chunked", "chunked, chunked",
           "chunked;a=b", "\"chunked\"", "" })
        answers.push_back(
            { "coding " + coding, start + "Transfer-Encoding: " + coding + "\r\n\r\n" + chunks });
    answers.push_back(
        { "two codings",
          start + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks });
    answers.push_back({ "coding and length",
                        start + "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n\r\nwhole" });
    return answers;
}

} // namespace ggv::test
