#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ggv {

//! One header line.
struct HttpHeader
{
    std::string name;
    std::string value;

    [[nodiscard]] auto operator<=>(const HttpHeader &) const = default;
};

//! Header lines in the order of the message.
using HttpHeaders = std::vector<HttpHeader>;

/**
 * @brief Finds a header.
 * @param headers Where to look.
 * @param name Name in any case.
 * @return The first value, or null.
 */
[[nodiscard]] const std::string *findHeader(const HttpHeaders &headers,
                                            std::string_view name) noexcept;

//! @return True if the header belongs to one connection and must not be forwarded.
[[nodiscard]] bool isHopByHop(const HttpHeaders &headers, std::string_view name);

//! Compares header names and tokens without regard to case.
[[nodiscard]] bool equalsIgnoreCase(std::string_view one, std::string_view other) noexcept;

//! First part of a request.
struct HttpRequestHead
{
    std::string method;
    std::string target; //!< Path and query.
    HttpHeaders headers;
    std::optional<std::uint64_t> contentLength; //!< Nothing: chunked or no body.
    bool chunked = false;

    //! @return True if a body follows.
    [[nodiscard]] bool hasBody() const noexcept { return chunked || contentLength.value_or(0) > 0; }
    [[nodiscard]] auto operator<=>(const HttpRequestHead &) const = default;
};

//! First part of an answer.
struct HttpAnswerHead
{
    std::uint16_t status = 0;
    HttpHeaders headers;
    std::optional<std::uint64_t>
        contentLength; //!< Nothing: chunked or up to the end of connection.
    bool noBody = false; //!< To HEAD, or status 204 and 304.

    [[nodiscard]] auto operator<=>(const HttpAnswerHead &) const = default;
};

//! A whole small answer.
struct HttpAnswer
{
    std::uint16_t status = 200;
    HttpHeaders headers;
    std::string body;

    [[nodiscard]] auto operator<=>(const HttpAnswer &) const = default;
};

//! Bounds on what a peer may send and how slowly.
struct HttpLimits
{
    std::uint32_t maxHeaderBytes = 32 * 1024;
    std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    Duration idleTimeout = std::chrono::seconds(60); //!< Between two requests.
    Duration headerTimeout = std::chrono::seconds(5); //!< For a whole request head.
    Duration transferTimeout = std::chrono::seconds(10); //!< Without any progress.
    std::size_t maxConnections = 20'000;
};

} // namespace ggv
