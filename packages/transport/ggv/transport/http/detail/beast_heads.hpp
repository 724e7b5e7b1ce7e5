#pragma once

#include <ggv/transport/http/http_types.hpp>

#include <string>
#include <utility>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace ggv::detail {

using BeastRequestHead = boost::beast::http::request_header<>;
using BeastAnswerHead = boost::beast::http::response_header<>;

//! @return Why a request head must not be trusted, for instance two lengths; empty if it is sound.
[[nodiscard]] std::string faultOfRequestHead(const BeastRequestHead &message);
//! @return The head as a value.
[[nodiscard]] HttpRequestHead requestHeadOf(const BeastRequestHead &message);
//! @return The head as a value. @throws Error TargetAnswerTruncated if its lengths conflict.
[[nodiscard]] HttpAnswerHead answerHeadOf(const BeastAnswerHead &message, bool toHeadRequest);
//! Copies end-to-end headers; lengths are set by the caller of this function.
void copyHeaders(boost::beast::http::fields &fields, const HttpHeaders &headers);

//! Sets version, status and end-to-end headers of an answer.
template <typename Message>
void fillHead(Message &message, std::uint16_t status, const HttpHeaders &headers)
{
    message.version(11);
    message.result(status);
    copyHeaders(message, headers);
}

} // namespace ggv::detail
