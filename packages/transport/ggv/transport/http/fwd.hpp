#pragma once

namespace ggv {

struct HttpHeader;
struct HttpRequestHead;
struct HttpAnswerHead;
struct HttpAnswer;
struct HttpLimits;
class ServerExchange;
class HttpServer;
class ClientExchange;
class HttpClientPool;

} // namespace ggv
