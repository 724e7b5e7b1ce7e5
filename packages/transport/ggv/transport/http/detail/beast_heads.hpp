#pragma once

#include <ggv/transport/http/http_types.hpp>

#include <string>
#include <string_view>
#include <utility>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace ggv::detail {

using BeastRequestHead = boost::beast::http::request_header<>;
using BeastAnswerHead = boost::beast::http::response_header<>;

//! @return Reason to reject a request head, for example conflicting lengths; empty if it is valid.
[[nodiscard]] std::string validateRequestHead(const BeastRequestHead &message);
//! Converts a parsed request head.
[[nodiscard]] HttpRequestHead requestHeadOf(const BeastRequestHead &message);
/**
 * @brief Finds lines of a head that continue the one before (RFC 9112 5.2).
 *
 * The parser joins them, so that a field whose name begins with a blank would become part of
 * another one's value.
 * @param lines Complete lines of a head.
 * @return True if a line after the first begins with a blank.
 */
[[nodiscard]] bool hasFoldedLine(std::string_view lines) noexcept;
//! @return Reason to reject a response head, for example an invalid status; empty if it is valid.
[[nodiscard]] std::string validateAnswerHead(const BeastAnswerHead &message);
//! Converts a parsed response head that is valid.
[[nodiscard]] HttpAnswerHead answerHeadOf(const BeastAnswerHead &message, bool toHeadRequest);
//! Copies end-to-end headers, without Content-Length; the calling code sets the length.
void copyHeaders(boost::beast::http::fields &fields, const HttpHeaders &headers);

//! Sets the version, status and end-to-end headers of a response.
template <typename Message>
void fillHead(Message &message, std::uint16_t status, const HttpHeaders &headers)
{
    message.version(11);
    message.result(status);
    copyHeaders(message, headers);
}

} // namespace ggv::detail
