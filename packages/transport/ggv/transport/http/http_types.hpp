#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ggv {

//! A header field.
struct HttpHeader
{
    std::string name;
    std::string value;

    [[nodiscard]] auto operator<=>(const HttpHeader &) const = default;
};

//! Header fields in message order.
using HttpHeaders = std::vector<HttpHeader>;

/**
 * @brief Finds a header field by name.
 * @param headers Header fields to search.
 * @param name Field name; compared case-insensitively.
 * @return Pointer to the value of the first match, or nullptr if there is none.
 */
[[nodiscard]] const std::string *findHeader(const HttpHeaders &headers,
                                            std::string_view name) noexcept;

//! Names of the header fields of one message that are hop-by-hop and must not be forwarded.
class HopByHopHeaders
{
public:
    //! Collects the names that the Connection fields list.
    explicit HopByHopHeaders(const HttpHeaders &headers);
    [[nodiscard]] bool contains(std::string_view name) const;

private:
    std::vector<std::string> m_listed; //!< In lower case, sorted.
};

//! Compares header names and tokens case-insensitively.
[[nodiscard]] bool equalsIgnoreCase(std::string_view one, std::string_view other) noexcept;

//! Request line and header fields of a request.
struct HttpRequestHead
{
    std::string method;
    std::string target; //!< Path and query.
    HttpHeaders headers;
    std::optional<std::uint64_t> contentLength; //!< std::nullopt if chunked or without a body.
    bool chunked = false;

    //! @return True if a body follows.
    [[nodiscard]] bool hasBody() const noexcept { return chunked || contentLength.value_or(0) > 0; }
    [[nodiscard]] auto operator<=>(const HttpRequestHead &) const = default;
};

//! Status line and header fields of a response.
struct HttpAnswerHead
{
    std::uint16_t status = 0;
    HttpHeaders headers;
    std::optional<std::uint64_t>
        contentLength; //!< std::nullopt if chunked or delimited by the end of the connection.
    bool noBody = false; //!< True for responses to HEAD and for status 204 and 304.

    [[nodiscard]] auto operator<=>(const HttpAnswerHead &) const = default;
};

//! A complete response with its body in memory.
struct HttpAnswer
{
    std::uint16_t status = 200;
    HttpHeaders headers;
    std::string body;

    [[nodiscard]] auto operator<=>(const HttpAnswer &) const = default;
};

//! Limits on the size and the transfer time of messages from a peer.
struct HttpLimits
{
    std::uint32_t maxHeaderBytes = 32 * 1024;
    std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    Duration idleTimeout = std::chrono::seconds(60); //!< Maximum time between two requests.
    Duration headerTimeout = std::chrono::seconds(5); //!< Maximum time for a request head.
    Duration transferTimeout = std::chrono::seconds(10); //!< Maximum time without progress.
    std::size_t maxConnections = 20'000;
};

} // namespace ggv
